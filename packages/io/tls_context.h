/// Defines the certificates with which a server, a client or a peer link uses TLS.
#ifndef CROCUSWIND_IO_TLS_CONTEXT_H
#define CROCUSWIND_IO_TLS_CONTEXT_H

#include <memory>
#include <string>
#include <tl/expected.hpp>

struct ssl_ctx_st;
struct ssl_st;

namespace crocuswind {

/// The files of a TLS identity, in PEM form.
struct tls_files
{
    std::string certificate; ///< Certificate chain of this process.
    std::string key; ///< Private key of `certificate`.
    std::string authority; ///< Certificates that sign the peers' certificates.
    bool requirePeerCertificate = true; ///< Servers: whether clients must present a certificate.
};

/// A loaded identity. Connections made after reload() use the new files; older ones go on with
/// those under which they began. The minimum version is TLS 1.2. A client verifies the server's
/// chain and that the certificate names the IP address it dialled.
class tls_context
{
public:
    /// Loads the files. Returns a message that names the file at fault if one cannot be used.
    static tl::expected<std::shared_ptr<tls_context>, std::string> load(const tls_files &files);

    /// Reads the files again. If one cannot be used, the former identity stays and the message is
    /// returned.
    tl::expected<void, std::string> reload();

    /// Creates the state of one connection to be accepted. The caller owns the result.
    ssl_st *newServerSession() const;

    /// Creates the state of one connection to \p ipAddress. The caller owns the result.
    ssl_st *newClientSession(const std::string &ipAddress) const;

private:
    explicit tls_context(tls_files files);

    tls_files m_files;
    std::shared_ptr<ssl_ctx_st> m_context;
};

} // namespace crocuswind

#endif
