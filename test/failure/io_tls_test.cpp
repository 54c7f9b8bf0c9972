// Guards against connections from or to hosts whose certificate the authority has not signed, and
// against a reload of certificates that breaks a running server.

#include "failure/io_raw_peer.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

using namespace crocuswind;

namespace {

using key_pointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_pointer = std::unique_ptr<X509, decltype(&X509_free)>;

struct identity
{
    key_pointer key{EVP_EC_gen("P-256"), EVP_PKEY_free};
    certificate_pointer certificate{X509_new(), X509_free};
};

void addExtension(X509 *certificate, int kind, const char *value)
{
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

// Creates a key with a certificate for \p address, signed by \p authority; self-signed if \p
// authority is null.
identity newIdentity(const char *name, const identity *authority, const char *address = "127.0.0.1")
{
    static long serial = 0;
    identity made;
    X509 *c = made.certificate.get();
    X509_set_version(c, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(c), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(c), -3600);
    X509_gmtime_adj(X509_getm_notAfter(c), 3600);
    X509_set_pubkey(c, made.key.get());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(c), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name), -1, -1, 0);
    const identity &issuer = authority != nullptr ? *authority : made;
    X509_set_issuer_name(c, X509_get_subject_name(issuer.certificate.get()));
    if (authority == nullptr)
        addExtension(c, NID_basic_constraints, "critical,CA:TRUE");
    else
        addExtension(c, NID_subject_alt_name, fmt::format("IP:{}", address).c_str());
    X509_sign(c, issuer.key.get(), EVP_sha256());
    return made;
}

struct tls_test : testing::Test
{
    tls_files write(const std::string &name, const identity &host, const identity &authority)
    {
        const std::string prefix
            = testing::TempDir() + fmt::format("/io_tls_{}_{}", getpid(), name);
        tls_files files{prefix + ".crt", prefix + ".key", prefix + ".ca", true};
        const auto open = [this](const std::string &path) {
            written.push_back(path);
            return std::fopen(path.c_str(), "w");
        };
        FILE *file = open(files.certificate);
        PEM_write_X509(file, host.certificate.get());
        std::fclose(file);
        file = open(files.key);
        PEM_write_PrivateKey(file, host.key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        file = open(files.authority);
        PEM_write_X509(file, authority.certificate.get());
        std::fclose(file);
        return files;
    }

    std::shared_ptr<tls_context> load(const std::string &name, const identity &host,
                                      const identity &authority)
    {
        auto context = tls_context::load(write(name, host, authority));
        EXPECT_TRUE(context) << context.error();
        return *context;
    }

    ~tls_test() override
    {
        for (const std::string &path : written)
            std::remove(path.c_str());
    }

    http_result exchange(const ip_endpoint &to, std::shared_ptr<tls_context> tls)
    {
        http_client_settings settings;
        settings.tls = std::move(tls);
        http_client client(loop, settings);
        http_call call;
        call.to = to;
        call.body = std::string(100000, 'x');
        call.deadline = loop.now() + testTimeout;
        std::optional<http_result> result;
        client.send(call, [&](const http_result &r) { result = r; });
        EXPECT_TRUE(loop.runUntil([&] { return result.has_value(); }, testTimeout));
        return result.value_or(http_result());
    }

    ip_endpoint serve(std::shared_ptr<tls_context> tls)
    {
        http_server_settings settings;
        settings.tls = std::move(tls);
        server = std::make_unique<http_server>(
            loop, settings, [](const http_request &request, const http_responder &responder) {
                responder.answer({200, "text/plain", {}, request.body});
            });
        return *server->listen({"127.0.0.1", 0});
    }

    event_loop loop;
    identity authority = newIdentity("authority", nullptr);
    identity otherAuthority = newIdentity("stranger", nullptr);
    std::vector<std::string> written;
    std::unique_ptr<http_server> server;
};

} // namespace

TEST_F(tls_test, HostsOfTheSameAuthorityCommunicate)
{
    const auto context = load("a", newIdentity("a", &authority), authority);
    const ip_endpoint to = serve(context);
    const http_result result = exchange(to, context);
    EXPECT_EQ(result.outcome, http_outcome::answered);
    EXPECT_EQ(result.body.size(), 100000U);
}

TEST_F(tls_test, ServerOfAnotherAuthorityIsNotConnected)
{
    const ip_endpoint to = serve(load("s", newIdentity("s", &otherAuthority), authority));
    EXPECT_EQ(exchange(to, load("c", newIdentity("c", &authority), authority)).outcome,
              http_outcome::not_connected);
}

TEST_F(tls_test, ServerWithAnotherAddressIsNotConnected)
{
    const ip_endpoint to = serve(load("s", newIdentity("s", &authority, "127.0.0.2"), authority));
    EXPECT_EQ(exchange(to, load("c", newIdentity("c", &authority), authority)).outcome,
              http_outcome::not_connected);
}

TEST_F(tls_test, ClientsOfAnotherAuthorityAndPlainClientsGetNoAnswer)
{
    const ip_endpoint to = serve(load("s", newIdentity("s", &authority), authority));
    EXPECT_NE(exchange(to, load("c", newIdentity("c", &otherAuthority), authority)).outcome,
              http_outcome::answered);
    EXPECT_NE(exchange(to, nullptr).outcome, http_outcome::answered);
    EXPECT_EQ(exchange(to, load("d", newIdentity("d", &authority), authority)).outcome,
              http_outcome::answered);
}

TEST_F(tls_test, ReloadKeepsThePreviousIdentityIfAFileIsInvalid)
{
    const tls_files files = write("s", newIdentity("s", &authority), authority);
    const auto context = *tls_context::load(files);
    const ip_endpoint to = serve(context);
    const auto client = load("c", newIdentity("c", &authority), authority);
    std::ofstream(files.key) << "nonsense";
    const auto reloaded = context->reload();
    ASSERT_FALSE(reloaded);
    EXPECT_NE(reloaded.error().find(files.key), std::string::npos);
    EXPECT_EQ(exchange(to, client).outcome, http_outcome::answered);
    write("s", newIdentity("s", &otherAuthority), authority);
    EXPECT_TRUE(context->reload());
    EXPECT_EQ(exchange(to, client).outcome, http_outcome::not_connected);
}

TEST_F(tls_test, KeyOfAnotherCertificateIsRefused)
{
    identity mixed = newIdentity("a", &authority);
    mixed.key = newIdentity("b", &authority).key;
    EXPECT_FALSE(tls_context::load(write("m", mixed, authority)));
    EXPECT_FALSE(tls_context::load({"/nowhere/a", "/nowhere/b", "/nowhere/c", true}));
}

TEST_F(tls_test, PeerLinksRefusePeersOfAnotherAuthority)
{
    struct name_hello final : peer_hello_codec
    {
        explicit name_hello(std::string n)
            : name(std::move(n))
        { }
        std::string helloFrame() override { return name; }
        std::optional<host_id> parseHello(std::string_view frame) override
        {
            return host_id{std::string(frame)};
        }
        std::string name;
    };
    struct tls_host
    {
        tls_host(event_loop &loop, const std::string &name, std::shared_ptr<tls_context> tls)
            : hello(name)
        {
            peer_links_settings settings;
            settings.self = host_id{name};
            settings.tls = std::move(tls);
            settings.minRetryDelay = 1ms;
            links = std::make_unique<peer_links>(
                loop, settings, hello, random,
                peer_links_callbacks{[](const host_id &) {}, [](const host_id &) {},
                                     [this](const host_id &, std::string_view frame) {
                                         received = std::string(frame);
                                     }});
        }
        name_hello hello;
        seeded_random random{1};
        std::string received;
        std::unique_ptr<peer_links> links;
    };
    tls_host a(loop, "a", load("a", newIdentity("a", &authority), authority));
    tls_host b(loop, "b", load("b", newIdentity("b", &authority), authority));
    tls_host s(loop, "s", load("s", newIdentity("s", &otherAuthority), authority));
    const ip_endpoint toB = *b.links->listen({"127.0.0.1", 0});
    s.links->setPeers({{host_id{"b"}, toB}});
    a.links->setPeers({{host_id{"b"}, toB}});
    EXPECT_TRUE(loop.runUntil([&] { return a.links->isUp(host_id{"b"}); }, testTimeout));
    const std::string large(1024 * 1024, 'x');
    EXPECT_EQ(a.links->send(host_id{"b"}, large), peer_send_result::queued);
    EXPECT_TRUE(loop.runUntil([&] { return b.received == large; }, testTimeout));
    EXPECT_EQ(b.links->peersUp(), std::vector<host_id>{host_id{"a"}});
    EXPECT_TRUE(s.links->peersUp().empty());
}
