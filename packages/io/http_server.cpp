#include "http_server.h"

#include "evhttp_helpers.h"
#include "libevent_time.h"
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
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuswind {

namespace {

constexpr duration sweepInterval = 1s;
constexpr duration sweepIntervalWhenFull = 100ms;

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
    // State of one connection. evhttp does not report that a connection was opened, nor that it was
    // closed before its first request reached the handler, for instance because evhttp answered the
    // request itself. The server therefore creates the bufferevent of each connection and keeps a
    // reference to it: when evhttp frees the bufferevent, its callbacks are cleared. The
    // bufferevent also owns the descriptor. If evhttp closed it, the loop would still watch the
    // closed descriptor until the reference is dropped, and would not watch the next connection
    // that has the same descriptor.
    struct server_connection
    {
        implementation *server = nullptr;
        bufferevent *socket = nullptr;
        instant waitingSince; ///< When it was accepted or last answered; start of the idle timeout.
        bool hasRequest = false;
        bool hasReachedHandler = false; ///< evhttp reports its end from then on.
        bool isCheckDue = false;
    };

    implementation(event_loop &l, http_server_settings s, handler h)
        : loop(l)
        , settings(std::move(s))
        , handle(std::move(h))
        , http(evhttp_new(l.base()))
    {
        CROCUSWIND_INVARIANT(http != nullptr, "evhttp_new failed");
        evhttp_set_max_headers_size(http, ev_ssize_t(settings.maxHeaderBytes));
        evhttp_set_max_body_size(http, ev_ssize_t(settings.maxBodyBytes));
        evhttp_set_allowed_methods(
            http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
        const timeval limit = toTimeval(settings.idleTimeout);
        evhttp_set_timeout_tv(http, &limit);
        // EVHTTP_SERVER_LINGERING_CLOSE must stay unset: with the flag, libevent 2.1.12 keeps the
        // rest of an oversized body in memory, which grew to 4 GB within 3 s with a fast sender.
        evhttp_set_bevcb(http, &implementation::onConnection, this);
        evhttp_set_gencb(http, &implementation::onRequest, this);
    }

    ~implementation()
    {
        loop.cancel(sweepTimer);
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
        for (auto &[socket, connection] : connections)
            bufferevent_decref(socket);
        loop.cancel(checkTimer);
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
        bufferevent_incref(socket);
        server_connection &connection = connections[socket];
        connection.server = this;
        connection.socket = socket;
        connection.waitingSince = loop.now();
        evbuffer_add_cb(bufferevent_get_input(socket), &implementation::onBytes, &connection);
        evbuffer_add_cb(bufferevent_get_output(socket), &implementation::onBytes, &connection);
        updateListeners();
        if (sweepTimer == 0 || isFull())
            scheduleSweep();
        return socket;
    }

    bool isFull() const { return connections.size() >= settings.maxConnections; }

    void updateListeners()
    {
        for (evhttp_bound_socket *socket : listeners) {
            evconnlistener *listener = evhttp_bound_socket_get_listener(socket);
            if (isFull())
                evconnlistener_disable(listener);
            else
                evconnlistener_enable(listener);
        }
    }

    void scheduleSweep()
    {
        loop.cancel(sweepTimer);
        sweepTimer = loop.callAt(loop.now() + (isFull() ? sweepIntervalWhenFull : sweepInterval),
                                 [this] { sweep(); });
    }

    // Bytes were read or written before the first request reached the handler. This may be the last
    // that is seen of the connection, since evhttp does not report its end.
    static void onBytes(evbuffer *, const evbuffer_cb_info *, void *argument)
    {
        auto *connection = static_cast<server_connection *>(argument);
        if (!std::exchange(connection->isCheckDue, true))
            connection->server->scheduleCheck(connection->socket);
    }

    void scheduleCheck(bufferevent *socket)
    {
        toCheck.push_back(socket);
        if (checkTimer == 0)
            checkTimer = loop.callAt(loop.now(), [this] { checkForEnd(); });
    }

    // Removes those connections that evhttp has closed. Until then, their bufferevents keep the
    // descriptors open and go on reading.
    void checkForEnd()
    {
        checkTimer = 0;
        for (bufferevent *socket : std::exchange(toCheck, {})) {
            const auto found = connections.find(socket);
            if (found == connections.end())
                continue;
            found->second.isCheckDue = false;
            if (isClosed(found->second)) {
                bufferevent_decref(socket);
                connections.erase(found);
            }
        }
        updateListeners();
    }

    // Removes connections that evhttp has closed, and closes connections that have timed out.
    void sweep()
    {
        const instant now = loop.now();
        for (auto i = connections.begin(); i != connections.end();) {
            server_connection &connection = i->second;
            if (isClosed(connection)) {
                bufferevent_decref(connection.socket);
                i = connections.erase(i);
                continue;
            }
            // After the shutdown, evhttp reads the end of the stream and frees the connection.
            const bool isOverdue = now - connection.waitingSince > settings.idleTimeout;
            const bool isDrained = isDraining && isIdle(connection);
            if (!connection.hasRequest && (isOverdue || isDrained))
                shutdown(bufferevent_getfd(connection.socket), SHUT_RDWR);
            ++i;
        }
        updateListeners();
        sweepTimer = 0;
        if (!connections.empty() || !listeners.empty())
            scheduleSweep();
    }

    // Returns true if evhttp has closed the connection.
    static bool isClosed(const server_connection &connection)
    {
        bufferevent_data_cb onRead = nullptr;
        bufferevent_data_cb onWrite = nullptr;
        bufferevent_event_cb onEvent = nullptr;
        bufferevent_getcb(connection.socket, &onRead, &onWrite, &onEvent, nullptr);
        return onRead == nullptr && onWrite == nullptr && onEvent == nullptr;
    }

    static bool hasUnsentAnswer(const server_connection &connection)
    {
        return evbuffer_get_length(bufferevent_get_output(connection.socket)) != 0
            && !isClosed(connection);
    }

    static bool isIdle(const server_connection &connection)
    {
        return !connection.hasRequest
            && evbuffer_get_length(bufferevent_get_input(connection.socket)) == 0
            && evbuffer_get_length(bufferevent_get_output(connection.socket)) == 0;
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
        if (const auto found = connections.find(socket); found != connections.end()) {
            if (!std::exchange(found->second.hasReachedHandler, true)) {
                evbuffer_remove_cb(bufferevent_get_input(socket), &implementation::onBytes,
                                   &found->second);
                evbuffer_remove_cb(bufferevent_get_output(socket), &implementation::onBytes,
                                   &found->second);
                const int on = 1;
                setsockopt(bufferevent_getfd(socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            }
            found->second.hasRequest = true;
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
        if (const auto found = connections.find(s.socket); found != connections.end()) {
            found->second.hasRequest = false;
            found->second.waitingSince = loop.now();
        }
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
        if (connections.erase(socket) != 0)
            bufferevent_decref(socket);
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
    evhttp *http;
    std::vector<evhttp_bound_socket *> listeners;
    std::unordered_map<bufferevent *, server_connection> connections;
    std::set<http_responder::state *> openStates;
    std::vector<bufferevent *> toCheck; ///< Connections that evhttp may have closed.
    timer_id sweepTimer = 0;
    timer_id checkTimer = 0;
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
    i.sweep();
}

std::size_t http_server::openRequests() const
{
    return m_implementation->openStates.size();
}

bool http_server::isIdle() const
{
    const auto &connections = m_implementation->connections;
    return m_implementation->openStates.empty()
        && std::none_of(connections.begin(), connections.end(), [](const auto &entry) {
               return implementation::hasUnsentAnswer(entry.second);
           });
}

std::size_t http_server::openConnections() const
{
    return m_implementation->connections.size();
}

} // namespace crocuswind
