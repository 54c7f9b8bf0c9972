#include "evhttp_helpers.h"

#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crocuswind {

namespace {

// A stream may be idle for long, so a dead connection is detected only by TCP keep-alive: with
// these values after 20 s.
constexpr int keepAliveSeconds = 5;
constexpr int keepAliveProbes = 3;

} // namespace

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        if (c >= 'A' && c <= 'Z')
            c = char(c - 'A' + 'a');
    }
    return lower;
}

http_headers copyHeaders(const evkeyvalq *source)
{
    http_headers headers;
    for (const evkeyval *h = source->tqh_first; h != nullptr; h = h->next.tqe_next)
        headers.push_back({lowerCase(h->key), h->value});
    return headers;
}

std::string drainBuffer(evbuffer *buffer)
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

evhttp_cmd_type toEvhttpMethod(std::string_view method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    return EVHTTP_REQ_GET;
}

const char *methodName(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "";
    }
}

bool isComplete(const http_result &result, std::string_view method)
{
    if (method == "HEAD" || result.status == 204 || result.status == 304)
        return true;
    if (lowerCase(headerValue(result.headers, "transfer-encoding")) == "chunked")
        return true; // evhttp reports the response only after the last chunk.
    const std::string_view text = headerValue(result.headers, "content-length");
    std::size_t length = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() && stop == text.data() + text.size() && !text.empty()
        && length == result.body.size();
}

bool isNumericEndpoint(const ip_endpoint &endpoint)
{
    return endpoint.port != 0 && parseEndpoint(toString(endpoint)).has_value();
}

evhttp_connection *newClientConnection(event_loop &loop, const http_client_settings &settings,
                                       const ip_endpoint &to)
{
    bufferevent *socket = settings.tls
        ? bufferevent_openssl_socket_new(loop.base(), -1,
                                         settings.tls->newClientSession(to.address),
                                         BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE)
        : bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (socket == nullptr)
        return nullptr;
    if (settings.tls)
        bufferevent_openssl_set_allow_dirty_shutdown(socket, 1);
    // Without a resolver and with a numeric address, libevent does not query a name service.
    evhttp_connection *evhttpConnection = evhttp_connection_base_bufferevent_new(
        loop.base(), nullptr, socket, to.address.c_str(), to.port);
    // EVHTTP_CON_READ_ON_WRITE_ERROR must stay unset: with the flag, libevent 2.1.12 does not
    // report a response that is truncated in its body before the deadline.
    if (evhttpConnection != nullptr)
        evhttp_connection_set_max_headers_size(evhttpConnection,
                                               ev_ssize_t(settings.maxHeaderBytes));
    return evhttpConnection;
}

void configureSocket(evhttp_connection *evhttpConnection, bool isStream)
{
    const evutil_socket_t socket
        = bufferevent_getfd(evhttp_connection_get_bufferevent(evhttpConnection));
    const int on = 1;
    // Without TCP_NODELAY, the last bytes of a body may wait until the peer has acknowledged the
    // preceding bytes.
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (!isStream)
        return;
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveSeconds, sizeof(keepAliveSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveSeconds, sizeof(keepAliveSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(keepAliveProbes));
}

bool isReusable(evhttp_connection *evhttpConnection)
{
    bufferevent *socket = evhttp_connection_get_bufferevent(evhttpConnection);
    if (evbuffer_get_length(bufferevent_get_input(socket)) != 0)
        return false;
    char byte = 0;
    const ssize_t count = recv(bufferevent_getfd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void fillRequest(evhttp_request *request, const http_call &call)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const http_header &h : call.headers)
        evhttp_add_header(headers, h.name.c_str(), h.value.c_str());
    if (evhttp_find_header(headers, "Host") == nullptr)
        evhttp_add_header(headers, "Host", toString(call.to).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
}

} // namespace crocuswind
