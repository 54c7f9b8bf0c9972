#include "http_service.h"

#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace crocuswind::standin {

namespace {

/// Timeout of idle connections. Long, because a watch or a delayed response keeps its connection
/// open without traffic.
constexpr int connectionTimeoutSeconds = 3600;
constexpr int maxBodyBytes = 8 * 1024 * 1024;

std::string bodyOf(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

std::string methodOf(evhttp_request *request)
{
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    default:
        return "OTHER";
    }
}

void addHeaders(evhttp_request *request, const header_list &headers)
{
    evkeyvalq *output = evhttp_request_get_output_headers(request);
    evhttp_add_header(output, "Content-Type", "application/json");
    for (const auto &[name, value] : headers)
        evhttp_add_header(output, name.c_str(), value.c_str());
}

using buffer_pointer = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

buffer_pointer bufferOf(const std::string &bytes)
{
    buffer_pointer buffer(evbuffer_new(), evbuffer_free);
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    return buffer;
}

} // namespace

http_exchange::http_exchange(evhttp_request *request, std::size_t listener)
    : m_request(request)
    , m_connection(evhttp_request_get_connection(request))
    , m_listener(listener)
    , m_method(methodOf(request))
    , m_body(bodyOf(request))
{
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    m_path = path ? path : "/";
    evhttp_connection_set_closecb(m_connection, &http_exchange::connectionClosed, this);
}

http_exchange::~http_exchange()
{
    drop();
}

void http_exchange::connectionClosed(evhttp_connection *, void *self)
{
    auto *exchange = static_cast<http_exchange *>(self);
    exchange->m_connection = nullptr;
    exchange->m_request = nullptr;
}

void http_exchange::detach()
{
    evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
    m_connection = nullptr;
    m_request = nullptr;
}

std::string http_exchange::header(const std::string &name) const
{
    if (isDisconnected())
        return {};
    const char *value
        = evhttp_find_header(evhttp_request_get_input_headers(m_request), name.c_str());
    return value ? value : "";
}

std::string http_exchange::parameter(const std::string &name) const
{
    if (isDisconnected())
        return {};
    const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(m_request));
    if (!query)
        return {};
    evkeyvalq pairs{};
    std::string value;
    if (evhttp_parse_query_str(query, &pairs) == 0) {
        const char *found = evhttp_find_header(&pairs, name.c_str());
        value = found ? found : "";
        evhttp_clear_headers(&pairs);
    }
    return value;
}

void http_exchange::answer(int status, const std::string &body, const header_list &headers)
{
    if (isDisconnected())
        return;
    evhttp_request *request = m_request;
    detach();
    addHeaders(request, headers);
    evhttp_send_reply(request, status, nullptr, bufferOf(body).get());
}

void http_exchange::answerTruncated(int status, const std::string &body, std::size_t bytes,
                                    const header_list &headers)
{
    if (isDisconnected())
        return;
    evhttp_request *request = m_request;
    detach();
    header_list all = headers;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    addHeaders(request, all);
    evhttp_send_reply_start(request, status, nullptr);
    evhttp_send_reply_chunk_with_cb(
        request, bufferOf(body.substr(0, bytes)).get(),
        [](evhttp_connection *connection, void *) { evhttp_connection_free(connection); }, nullptr);
}

void http_exchange::drop()
{
    if (isDisconnected())
        return;
    evhttp_connection *connection = m_connection;
    detach();
    evhttp_connection_free(connection);
}

void http_exchange::startStream()
{
    if (isDisconnected())
        return;
    addHeaders(m_request, {});
    evhttp_send_reply_start(m_request, 200, nullptr);
}

void http_exchange::sendChunk(const std::string &bytes)
{
    if (!isDisconnected())
        evhttp_send_reply_chunk(m_request, bufferOf(bytes).get());
}

struct http_service::listening_socket
{
    http_service *service = nullptr;
    std::size_t number = 0;
    evhttp *server = nullptr;
    evhttp_bound_socket *bound = nullptr;

    listening_socket() = default;
    listening_socket(const listening_socket &) = delete;
    listening_socket &operator=(const listening_socket &) = delete;
    ~listening_socket()
    {
        if (server)
            evhttp_free(server);
    }
};

http_service::http_service(event_loop &loop, exchange_handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{ }

http_service::~http_service() = default;

bool http_service::listenOn(int firstPort, int count)
{
    m_sockets.clear();
    for (int i = 0; i < count; ++i) {
        auto socket = std::make_unique<listening_socket>();
        socket->service = this;
        socket->number = std::size_t(i);
        socket->server = evhttp_new(m_loop.base());
        evhttp_set_timeout(socket->server, connectionTimeoutSeconds);
        evhttp_set_max_body_size(socket->server, maxBodyBytes);
        evhttp_set_gencb(
            socket->server,
            [](evhttp_request *request, void *argument) {
                const auto *s = static_cast<listening_socket *>(argument);
                s->service->m_handler(std::make_shared<http_exchange>(request, s->number));
            },
            socket.get());
        const int port = firstPort == 0 ? 0 : firstPort + i;
        socket->bound
            = evhttp_bind_socket_with_handle(socket->server, m_ip.c_str(), std::uint16_t(port));
        if (!socket->bound)
            return false;
        if (firstPort == 0) {
            sockaddr_in address{};
            socklen_t size = sizeof(address);
            getsockname(evhttp_bound_socket_get_fd(socket->bound),
                        reinterpret_cast<sockaddr *>(&address), &size);
            firstPort = ntohs(address.sin_port);
        }
        m_sockets.push_back(std::move(socket));
    }
    m_firstPort = firstPort;
    return true;
}

bool http_service::listen(const std::string &where, int count)
{
    const std::size_t colon = where.rfind(':');
    if (colon == std::string::npos || count < 1)
        return false;
    m_ip = where.substr(0, colon);
    const int port = std::atoi(where.c_str() + colon + 1);
    // With port 0 the system chooses the first port. The ports after it may be in use, so this is
    // tried up to 20 times.
    const int tries = port == 0 ? 20 : 1;
    for (int i = 0; i < tries; ++i) {
        if (listenOn(port, count))
            return true;
    }
    return false;
}

void http_service::stopListening(std::size_t listener)
{
    listening_socket &socket = *m_sockets.at(listener);
    if (socket.bound)
        evhttp_del_accept_socket(socket.server, socket.bound);
    socket.bound = nullptr;
}

std::string http_service::address(std::size_t listener) const
{
    return fmt::format("{}:{}", m_ip, m_firstPort + int(listener));
}

void http_service::announce() const
{
    if (m_sockets.size() == 1)
        fmt::print("listening on {}\n", address(0));
    else
        fmt::print("listening on {} ({} ports)\n", address(0), m_sockets.size());
    std::fflush(stdout);
}

} // namespace crocuswind::standin
