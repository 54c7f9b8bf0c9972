#include "tls_context.h"

#include <fmt/format.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <utility>

namespace crocuswind {

namespace {

std::string describeFailure(const char *what, const std::string &file)
{
    char reason[256] = "unknown reason";
    if (const unsigned long code = ERR_peek_last_error(); code != 0)
        ERR_error_string_n(code, reason, sizeof(reason));
    ERR_clear_error();
    return fmt::format("cannot use the {} '{}': {}", what, file, reason);
}

tl::expected<std::shared_ptr<ssl_ctx_st>, std::string> loadContext(const tls_files &files)
{
    ERR_clear_error();
    const std::shared_ptr<ssl_ctx_st> context(SSL_CTX_new(TLS_method()), SSL_CTX_free);
    if (!context)
        return tl::unexpected(describeFailure("TLS library for certificate", files.certificate));
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(context.get(), files.certificate.c_str()) != 1)
        return tl::unexpected(describeFailure("certificate", files.certificate));
    if (SSL_CTX_use_PrivateKey_file(context.get(), files.key.c_str(), SSL_FILETYPE_PEM) != 1)
        return tl::unexpected(describeFailure("key", files.key));
    if (SSL_CTX_load_verify_locations(context.get(), files.authority.c_str(), nullptr) != 1)
        return tl::unexpected(describeFailure("authority", files.authority));
    return context;
}

} // namespace

tls_context::tls_context(tls_files files)
    : m_files(std::move(files))
{ }

tl::expected<std::shared_ptr<tls_context>, std::string> tls_context::load(const tls_files &files)
{
    std::shared_ptr<tls_context> context(new tls_context(files));
    if (auto loaded = context->reload(); !loaded)
        return tl::unexpected(loaded.error());
    return context;
}

tl::expected<void, std::string> tls_context::reload()
{
    auto context = loadContext(m_files);
    if (!context)
        return tl::unexpected(context.error());
    m_context = *context;
    return {};
}

ssl_st *tls_context::newServerSession() const
{
    ssl_st *session = SSL_new(m_context.get());
    const int mutual = SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT;
    SSL_set_verify(session, m_files.requirePeerCertificate ? mutual : SSL_VERIFY_NONE, nullptr);
    return session;
}

ssl_st *tls_context::newClientSession(const std::string &ipAddress) const
{
    ssl_st *session = SSL_new(m_context.get());
    SSL_set_verify(session, SSL_VERIFY_PEER, nullptr);
    X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(session), ipAddress.c_str());
    return session;
}

} // namespace crocuswind
