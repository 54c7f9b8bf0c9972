#include "http_server.h"

#include "evhttp_helpers.h"
#include "libevent_time.h"
#include "server_connections.h"
#include "socket_address.h"
#include "socket_throughput.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace crocuswind {

namespace {

/// Added to evhttp's own timeout, so that the server's deadlines always expire first.
constexpr duration timeoutMargin = 5s;

/// Memory of a header field beside its text.
constexpr std::size_t headerFieldBytes = 128;

// Returns whether a request has more than one content-length or transfer-encoding field. Servers
// disagree on the length of such a request, which allows request smuggling behind a shared load
// balancer.
bool hasAmbiguousLength(const http_headers &headers)
{
    int lengths = 0;
    for (const http_header &h : headers)
        lengths += h.name == "content-length" || h.name == "transfer-encoding" ? 1 : 0;
    return lengths > 1;
}

// Returns the memory that a request takes while it is being processed, in bytes.
std::size_t sizeOf(const http_request &request)
{
    std::size_t size = request.path.size() + request.query.size() + request.body.size();
    for (const http_header &h : request.headers)
        size += h.name.size() + h.value.size() + headerFieldBytes;
    return size;
}

http_server_settings withConsistentLimits(http_server_settings settings)
{
    settings.limits = crocuswind::admittingRequests(settings.limits, settings.maxHeaderBytes,
                                                    settings.maxBodyBytes);
    return settings;
}

} // namespace

struct http_responder::state
{
    ~state();

    http_server::implementation *server = nullptr; ///< Null once the server is destroyed.
    evhttp_request *request = nullptr; ///< Null once answered or disconnected.
    bufferevent *socket = nullptr;
    event *closeEvent = nullptr;
    bool isDisconnected = false;
    std::function<void()> onDisconnect;
};

struct http_server::implementation
{
    implementation(event_loop &l, http_server_settings s, handler h)
        : loop(l)
        , settings(withConsistentLimits(std::move(s)))
        , handle(std::move(h))
        , connections(l, settings, [this] { updateListeners(); })
        , http(evhttp_new(l.base()))
    {
        CROCUSWIND_INVARIANT(http != nullptr, "evhttp_new failed");
        evhttp_set_max_headers_size(http, ev_ssize_t(settings.maxHeaderBytes));
        evhttp_set_max_body_size(http, ev_ssize_t(settings.maxBodyBytes));
        evhttp_set_allowed_methods(
            http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
        const timeval limit = toTimeval(settings.idleTimeout + timeoutMargin);
        evhttp_set_timeout_tv(http, &limit);
        // EVHTTP_SERVER_LINGERING_CLOSE must stay unset: with the flag, libevent 2.1.12 keeps the
        // rest of an oversized body in memory, which grew to 4 GB within 3 s with a fast sender.
        evhttp_set_bevcb(http, &implementation::onConnection, this);
        evhttp_set_gencb(http, &implementation::onRequest, this);
    }

    ~implementation()
    {
        for (http_responder::state *s : openStates) {
            event_free(s->closeEvent);
            s->closeEvent = nullptr;
            s->request = nullptr;
            s->server = nullptr;
            s->isDisconnected = true;
        }
        openStates.clear();
        listeners.clear(); // evhttp_free() frees them before the connections.
        evhttp_free(http);
    }

    tl::expected<ip_endpoint, std::string> listen(const ip_endpoint &where)
    {
        const auto bound = bindListener(loop.base(), where);
        if (!bound)
            return tl::unexpected(bound.error());
        evhttp_bound_socket *socket = evhttp_bind_listener(http, bound->listener);
        CROCUSWIND_INVARIANT(socket != nullptr, "evhttp_bind_listener failed");
        evconnlistener_set_error_cb(bound->listener, &implementation::onAcceptError);
        listeners.push_back(socket);
        return bound->endpoint;
    }

    // Accepting fails when the process has no file descriptor left. The listener would report the
    // error in a busy loop, so it is disabled until the next sweep.
    static void onAcceptError(evconnlistener *listener, void *)
    {
        evconnlistener_disable(listener);
    }

    static bufferevent *onConnection(event_base *base, void *self)
    {
        return static_cast<implementation *>(self)->addConnection(base);
    }

    bufferevent *addConnection(event_base *base)
    {
        bufferevent *socket = settings.tls
            ? bufferevent_openssl_socket_new(base, -1, settings.tls->newServerSession(),
                                             BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE)
            : bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        CROCUSWIND_INVARIANT(socket != nullptr, "cannot create a bufferevent");
        enableLargeWrites(socket);
        if (settings.tls)
            bufferevent_openssl_set_allow_dirty_shutdown(socket, 1);
        else
            enableLargeReads(socket);
        connections.add(socket);
        updateListeners();
        return socket;
    }

    void updateListeners()
    {
        for (evhttp_bound_socket *socket : listeners) {
            evconnlistener *listener = evhttp_bound_socket_get_listener(socket);
            if (connections.isFull())
                evconnlistener_disable(listener);
            else
                evconnlistener_enable(listener);
        }
    }

    static void onRequest(evhttp_request *request, void *self)
    {
        static_cast<implementation *>(self)->handleRequest(request);
    }

    void handleRequest(evhttp_request *request)
    {
        evhttp_connection *connection = evhttp_request_get_connection(request);
        bufferevent *socket = evhttp_connection_get_bufferevent(connection);
        http_request received;
        received.method = methodName(evhttp_request_get_command(request));
        const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
        if (const char *path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr)
            received.path = path;
        if (const char *query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr)
            received.query = query;
        received.headers = copyHeaders(evhttp_request_get_input_headers(request));
        received.body = drainBuffer(evhttp_request_get_input_buffer(request));
        char *peer = nullptr;
        ev_uint16_t port = 0;
        evhttp_connection_get_peer(connection, &peer, &port);
        received.peerAddress = peer != nullptr ? peer : "";
        received.arrived = loop.now();

        const std::shared_ptr<http_responder::state> state(new http_responder::state);
        state->server = this;
        state->request = request;
        state->socket = socket;
        // evhttp does not read while a request is being processed, so it does not detect that the
        // client has closed the connection. Reading cannot be enabled, because evhttp terminates
        // the process if bytes of a further request arrive in that state.
        state->closeEvent = event_new(
            loop.base(), bufferevent_getfd(socket), EV_CLOSED,
            [](evutil_socket_t, short, void *s) {
                auto *watched = static_cast<http_responder::state *>(s);
                watched->server->handleDisconnect(*watched);
            },
            state.get());
        event_add(state->closeEvent, nullptr);
        openStates.insert(state.get());
        if (connections.beginRequest(socket, sizeOf(received))) {
            const int on = 1;
            setsockopt(bufferevent_getfd(socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        }
        evhttp_connection_set_closecb(connection, &implementation::onClosed, this);

        http_responder responder(state);
        if (hasAmbiguousLength(received.headers) || received.path.empty()) {
            responder.answer({400, "text/plain", {{"connection", "close"}}, "malformed request\n"});
            return;
        }
        handle(std::move(received), std::move(responder));
    }

    // Detaches the responder from its request. The caller of this function must answer or free the
    // request.
    void detach(http_responder::state &s)
    {
        event_free(s.closeEvent);
        s.closeEvent = nullptr;
        s.request = nullptr;
        openStates.erase(&s);
        connections.endRequest(s.socket);
    }

    void markDisconnected(http_responder::state &s)
    {
        detach(s);
        s.isDisconnected = true;
        if (s.onDisconnect)
            loop.post(std::exchange(s.onDisconnect, nullptr));
    }

    void handleDisconnect(http_responder::state &s)
    {
        evhttp_connection *connection = evhttp_request_get_connection(s.request);
        markDisconnected(s);
        evhttp_connection_free(connection);
    }

    static void onClosed(evhttp_connection *connection, void *self)
    {
        static_cast<implementation *>(self)->removeConnection(connection);
    }

    void removeConnection(evhttp_connection *connection)
    {
        bufferevent *socket = evhttp_connection_get_bufferevent(connection);
        for (http_responder::state *s : openStates) {
            if (s->socket != socket)
                continue;
            evhttp_request *request = s->request;
            markDisconnected(*s);
            // evhttp frees a request that it has detached from its connection only when the request
            // is answered.
            if (evhttp_request_get_connection(request) == nullptr)
                evhttp_send_reply(request, 500, nullptr, nullptr);
            break;
        }
        connections.remove(socket);
        updateListeners();
    }

    void answer(http_responder::state &s, const http_response &response)
    {
        evhttp_request *request = s.request;
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Content-Type", response.contentType.c_str());
        for (const http_header &h : response.headers)
            evhttp_add_header(headers, h.name.c_str(), h.value.c_str());
        if (isDraining) {
            evhttp_remove_header(headers, "Connection");
            evhttp_add_header(headers, "Connection", "close");
        }
        evbuffer *body = evbuffer_new();
        evbuffer_add(body, response.body.data(), response.body.size());
        detach(s);
        evhttp_send_reply(request, response.status, nullptr, body);
        evbuffer_free(body);
    }

    event_loop &loop;
    http_server_settings settings;
    handler handle;
    std::vector<evhttp_bound_socket *> listeners;
    server_connections connections;
    evhttp *http;
    std::set<http_responder::state *> openStates;
    bool isDraining = false;
};

http_responder::state::~state()
{
    if (request != nullptr)
        server->answer(*this, {500, "text/plain", {}, "no answer was given\n"});
}

http_responder::http_responder(std::shared_ptr<state> s)
    : m_state(std::move(s))
{ }

void http_responder::answer(const http_response &response) const
{
    if (m_state->request != nullptr)
        m_state->server->answer(*m_state, response);
}

void http_responder::onDisconnect(std::function<void()> function) const
{
    if (m_state->isDisconnected && m_state->server != nullptr)
        m_state->server->loop.post(std::move(function));
    else if (m_state->request != nullptr)
        m_state->onDisconnect = std::move(function);
}

bool http_responder::isDisconnected() const
{
    return m_state->isDisconnected;
}

http_server::http_server(event_loop &loop, http_server_settings settings, handler h)
    : m_implementation(std::make_unique<implementation>(loop, std::move(settings), std::move(h)))
{ }

http_server::~http_server() = default;

tl::expected<ip_endpoint, std::string> http_server::listen(const ip_endpoint &where)
{
    return m_implementation->listen(where);
}

void http_server::stopAccepting()
{
    implementation &i = *m_implementation;
    i.isDraining = true;
    for (evhttp_bound_socket *socket : i.listeners)
        evhttp_del_accept_socket(i.http, socket);
    i.listeners.clear();
    i.connections.drain();
}

std::size_t http_server::openRequests() const
{
    return m_implementation->openStates.size();
}

bool http_server::isIdle() const
{
    return m_implementation->openStates.empty()
        && !m_implementation->connections.hasUnsentAnswers();
}

std::size_t http_server::openConnections() const
{
    return m_implementation->connections.size();
}

const std::string &http_server::name() const
{
    return m_implementation->settings.name;
}

std::size_t http_server::heldBytes() const
{
    return m_implementation->connections.heldBytes();
}

const connection_counters &http_server::connectionCounters() const
{
    return m_implementation->connections.counters();
}

} // namespace crocuswind
