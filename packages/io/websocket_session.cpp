#include "websocket_session.h"

#include <fmt/format.h>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace crocuswind {

namespace {

using server_endpoint = websocketpp::server<websocketpp::config::core>;
using client_endpoint = websocketpp::client<websocketpp::config::core_client>;

constexpr const char *peerPath = "/v1/peer";
constexpr const char *incarnationHeader = "x-crocuswind-life";

template <class endpoint>
class session final : public websocket_session
{
public:
    using connection_pointer = typename endpoint::connection_ptr;

    session(connection_pointer connection, websocket_callbacks callbacks,
            std::function<void(connection_pointer)> begin)
        : m_connection(std::move(connection))
        , m_callbacks(std::move(callbacks))
        , m_begin(std::move(begin))
    {
        using handle = websocketpp::connection_hdl;
        m_connection->set_write_handler([this](handle, const char *bytes, std::size_t count) {
            if (!m_isTerminated)
                m_callbacks.write({bytes, count});
            return std::error_code();
        });
        m_connection->set_open_handler([this](handle) {
            if (!m_isTerminated)
                m_callbacks.opened();
        });
        m_connection->set_message_handler(
            [this](handle, const typename endpoint::message_ptr &message) {
                if (m_isTerminated)
                    return;
                if (message->get_opcode() != websocketpp::frame::opcode::binary) {
                    std::error_code ignored;
                    m_connection->close(websocketpp::close::status::unsupported_data, "", ignored);
                    return;
                }
                m_callbacks.message(message->get_payload());
            });
        m_connection->set_fail_handler([this](handle) { m_isFailed = true; });
        m_connection->set_close_handler([this](handle) { m_isFailed = true; });
    }

    void start() override { m_begin(m_connection); }

    void receive(std::string_view bytes) override
    {
        m_connection->read_all(bytes.data(), bytes.size());
    }

    bool send(std::string_view frame) override
    {
        return !m_connection->send(frame.data(), frame.size(), websocketpp::frame::opcode::binary);
    }

    void ping() override
    {
        std::error_code ignored;
        m_connection->ping("", ignored);
    }

    bool isFinished() const override
    {
        const auto state = m_connection->get_state();
        return m_isFailed || state == websocketpp::session::state::closing
            || state == websocketpp::session::state::closed;
    }

    std::string peerIncarnation() const override
    {
        return m_connection->is_server() ? m_connection->get_request_header(incarnationHeader)
                                         : m_connection->get_response_header(incarnationHeader);
    }

    void terminate() override
    {
        // The connection holds a shared pointer to itself while it waits for bytes. The error
        // releases the pointer, so that the connection can be destroyed.
        m_isTerminated = true;
        m_connection->fatal_error();
    }

private:
    connection_pointer m_connection;
    websocket_callbacks m_callbacks;
    std::function<void(connection_pointer)> m_begin;
    bool m_isFailed = false;
    bool m_isTerminated = false;
};

template <class endpoint>
void configure(endpoint &e, std::size_t maxMessageBytes)
{
    e.clear_access_channels(websocketpp::log::alevel::all);
    e.clear_error_channels(websocketpp::log::elevel::all);
    e.set_max_message_size(maxMessageBytes);
    e.set_user_agent("crocuswind");
}

} // namespace

struct websocket_factory::implementation
{
    std::string incarnation;
    server_endpoint server;
    client_endpoint client;
};

websocket_factory::websocket_factory(std::string incarnation, std::size_t maxMessageBytes)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->incarnation = std::move(incarnation);
    configure(m_implementation->server, maxMessageBytes);
    configure(m_implementation->client, maxMessageBytes);
}

websocket_factory::~websocket_factory() = default;

std::unique_ptr<websocket_session>
websocket_factory::newServerSession(websocket_callbacks callbacks)
{
    const server_endpoint::connection_ptr connection = m_implementation->server.get_connection();
    if (!connection)
        return nullptr;
    // A shared pointer in the handler would create a reference cycle.
    auto *raw = connection.get();
    connection->set_validate_handler(
        [raw, incarnation = m_implementation->incarnation](const websocketpp::connection_hdl &) {
            if (raw->get_resource() != peerPath)
                return false;
            raw->append_header(incarnationHeader, incarnation);
            return true;
        });
    return std::make_unique<session<server_endpoint>>(
        connection, std::move(callbacks),
        [](const server_endpoint::connection_ptr &c) { c->start(); });
}

std::unique_ptr<websocket_session>
websocket_factory::newClientSession(const ip_endpoint &to, bool isTls,
                                    websocket_callbacks callbacks)
{
    std::error_code error;
    client_endpoint &client = m_implementation->client;
    client.set_secure(isTls);
    const client_endpoint::connection_ptr connection = client.get_connection(
        fmt::format("{}://{}{}", isTls ? "wss" : "ws", toString(to), peerPath), error);
    if (error || !connection)
        return nullptr;
    connection->append_header(incarnationHeader, m_implementation->incarnation);
    return std::make_unique<session<client_endpoint>>(
        connection, std::move(callbacks),
        [&client](const client_endpoint::connection_ptr &c) { client.connect(c); });
}

} // namespace crocuswind
