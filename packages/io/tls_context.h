/// Defines the TLS identity of a server, a client or a peer link.
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
    std::string authority; ///< CA certificates that sign the peers' certificates.
    bool requirePeerCertificate = true; ///< Servers: whether clients must present a certificate.
};

/// A loaded TLS identity. Connections created after reload() use the new files; existing
/// connections keep the files with which they were created. The minimum version is TLS 1.2. A
/// client verifies the server's certificate chain and that the certificate contains the IP address
/// to which the client connected.
class tls_context
{
public:
    /// Loads the files. If a file cannot be used, returns a message that contains its path.
    static tl::expected<std::shared_ptr<tls_context>, std::string> load(const tls_files &files);

    /// Reads the files again. If a file cannot be used, keeps the previous identity and returns a
    /// message.
    tl::expected<void, std::string> reload();

    /// Creates the TLS session of an accepted connection. The caller owns the result.
    ssl_st *newServerSession() const;

    /// Creates the TLS session of a connection to \p ipAddress. The caller owns the result.
    ssl_st *newClientSession(const std::string &ipAddress) const;

private:
    explicit tls_context(tls_files files);

    tls_files m_files;
    std::shared_ptr<ssl_ctx_st> m_context;
};

} // namespace crocuswind

#endif
