#include "http_client.h"

#include "evhttp_helpers.h"
#include "libevent_time.h"
#include "socket_throughput.h"

#include <algorithm>
#include <cerrno>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <list>
#include <map>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace crocuswind {

namespace {

// Added to evhttp's own timeout, so that the client's timers always fire first.
constexpr duration timeoutMargin = 5s;

// Buffer space for chunk sizes and the header, in addition to one object of a stream.
constexpr std::size_t streamBufferMargin = 64 * 1024;

} // namespace

struct http_client::implementation
{
    struct pool;
    struct connection;

    struct call_state
    {
        http_call_id id = 0;
        http_call call;
        done_callback done;
        data_callback onData; ///< Set only for streams.
        duration receiveTimeout = duration::zero();
        pool *waitingPool = nullptr; ///< The pool in whose queue the call waits, or null.
        connection *assignedConnection = nullptr;
        timer_id timer = 0;
        bool bytesSent = false;
        bool headerArrived = false;
        std::size_t receivedBytes = 0;
        /// Set when the deadline has passed: number of bytes that arrived by then, including bytes
        /// that are still unread in the socket.
        std::optional<std::size_t> bytesInTime;
        std::string streamBody; ///< Body of a stream's response if its status is not 200.
    };

    struct connection
    {
        implementation *owner = nullptr;
        pool *ownerPool = nullptr; ///< Null for streams.
        evhttp_connection *evhttpConnection = nullptr;
        call_state *currentCall = nullptr;
        ip_endpoint to;
        bool isDisposed = false;
        bool isConfigured = false;
        bool isRefused = false;
        bufferevent_event_cb connectCallback = nullptr; ///< evhttp's callback while connecting.
        instant idleSince;
    };

    struct pool
    {
        int limit = 0;
        std::list<connection *> connections;
        std::deque<http_call_id> queue;
    };

    implementation(event_loop &l, http_client_settings s)
        : loop(l)
        , settings(std::move(s))
    { }

    ~implementation()
    {
        loop.cancel(sweepTimer);
        for (auto &[id, state] : calls)
            loop.cancel(state->timer);
        for (auto &[address, connection] : connections) {
            connection->isDisposed = true;
            evhttp_connection_free(connection->evhttpConnection);
        }
    }

    http_call_id startCall(http_call call, duration receiveTimeout, data_callback onData,
                           done_callback done)
    {
        const http_call_id id = ++lastCall;
        auto owned = std::make_unique<call_state>();
        call_state &state = *owned;
        state.id = id;
        state.call = std::move(call);
        state.done = std::move(done);
        state.onData = std::move(onData);
        state.receiveTimeout = receiveTimeout;
        calls.emplace(id, std::move(owned));
        if (!isNumericEndpoint(state.call.to) || state.call.deadline <= loop.now()) {
            finish(state, {http_outcome::not_connected, 0, {}, {}});
            return id;
        }
        if (state.onData) {
            if (connection *c = connect(state.call.to, nullptr))
                sendRequest(state, *c);
            else
                finish(state, {http_outcome::not_connected, 0, {}, {}});
            return id;
        }
        pool &p = poolOf(state.call.to);
        if (p.queue.size() >= settings.maxQueuedPerEndpoint) {
            finish(state, {http_outcome::not_connected, 0, {}, {}});
            return id;
        }
        p.queue.push_back(id);
        state.waitingPool = &p;
        state.timer = loop.callAt(state.call.deadline, [this, id] { onTimer(id); });
        assignQueuedCalls(p);
        return id;
    }

    pool &poolOf(const ip_endpoint &endpoint)
    {
        const auto [found, isNew] = pools.try_emplace(endpoint);
        if (isNew)
            found->second.limit = settings.maxConnectionsPerEndpoint;
        return found->second;
    }

    // Assigns queued calls to idle connections, and to new ones up to the connection limit.
    void assignQueuedCalls(pool &p)
    {
        while (!p.queue.empty()) {
            call_state &next = *calls.at(p.queue.front());
            connection *assignedConnection = idleConnection(p);
            if (assignedConnection == nullptr && int(p.connections.size()) >= p.limit)
                return;
            if (assignedConnection == nullptr)
                assignedConnection = connect(next.call.to, &p);
            p.queue.pop_front();
            next.waitingPool = nullptr;
            loop.cancel(next.timer);
            if (assignedConnection != nullptr)
                sendRequest(next, *assignedConnection);
            else
                finish(next, {http_outcome::not_connected, 0, {}, {}});
        }
    }

    connection *idleConnection(pool &p)
    {
        while (true) {
            const auto idle
                = std::find_if(p.connections.begin(), p.connections.end(),
                               [](const connection *c) { return c->currentCall == nullptr; });
            if (idle == p.connections.end())
                return nullptr;
            connection *c = *idle;
            const bool isWithinLimit = int(p.connections.size()) <= p.limit;
            if (isWithinLimit && isReusable(c->evhttpConnection))
                return c;
            dispose(*c);
        }
    }

    connection *connect(const ip_endpoint &to, pool *ownerPool)
    {
        evhttp_connection *evhttpConnection = newClientConnection(loop, settings, to);
        if (evhttpConnection == nullptr)
            return nullptr;
        auto owned = std::make_unique<connection>();
        connection &c = *owned;
        c.owner = this;
        c.ownerPool = ownerPool;
        c.to = to;
        c.evhttpConnection = evhttpConnection;
        evhttp_connection_set_closecb(evhttpConnection, &implementation::onClosed, &c);
        evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(evhttpConnection)),
                        &implementation::onOutput, &c);
        evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(evhttpConnection)),
                        &implementation::onInput, &c);
        enableLargeWrites(evhttp_connection_get_bufferevent(evhttpConnection));
        // A stream is read only as fast as its receiver processes the data.
        if (ownerPool != nullptr && !settings.tls)
            enableLargeReads(evhttp_connection_get_bufferevent(evhttpConnection));
        if (ownerPool != nullptr)
            ownerPool->connections.push_back(&c);
        connections.emplace(&c, std::move(owned));
        return &c;
    }

    void sendRequest(call_state &state, connection &c)
    {
        state.assignedConnection = &c;
        c.currentCall = &state;
        const http_call &call = state.call;
        const instant now = loop.now();
        const bool isStream = bool(state.onData);
        const duration silence
            = (isStream ? state.receiveTimeout : call.deadline - now) + timeoutMargin;
        const timeval limit = toTimeval(silence);
        evhttp_connection_set_timeout_tv(c.evhttpConnection, &limit);
        // A stream has no maximum body size; its unread data is bounded by the read watermark.
        evhttp_connection_set_max_body_size(c.evhttpConnection,
                                            isStream ? -1 : ev_ssize_t(call.maxAnswerBytes));
        if (isStream)
            bufferevent_setwatermark(evhttp_connection_get_bufferevent(c.evhttpConnection), EV_READ,
                                     0, call.maxAnswerBytes + streamBufferMargin);

        evhttp_request *request = evhttp_request_new(&implementation::onDone, &c);
        evhttp_request_set_header_cb(request, &implementation::onHeader);
        if (isStream)
            evhttp_request_set_chunked_cb(request, &implementation::onChunk);
        fillRequest(request, call);

        const instant connected = std::min(call.deadline, now + settings.connectTimeout);
        state.timer = loop.callAt(connected, [this, id = state.id] { onTimer(id); });
        // Calls onDone() from within this call if the connection is refused immediately.
        errno = 0;
        const int failed = evhttp_make_request(c.evhttpConnection, request,
                                               toEvhttpMethod(call.method), call.path.c_str());
        c.isRefused = errno == ECONNREFUSED;
        if (failed != 0 && c.currentCall == &state)
            fail(c);
        else if (!c.isConfigured && !c.isDisposed && !settings.tls)
            watchConnect(c);
    }

    // evhttp does not report why a connection failed, and closes the socket before it reports the
    // failure. The client therefore replaces evhttp's callbacks until the socket is connected.
    static void watchConnect(connection &c)
    {
        bufferevent *socket = evhttp_connection_get_bufferevent(c.evhttpConnection);
        bufferevent_getcb(socket, nullptr, nullptr, &c.connectCallback, nullptr);
        bufferevent_setcb(socket, nullptr, nullptr, &implementation::onConnect, &c);
    }

    // evhttp installs its own callbacks again once the socket is connected.
    static void onConnect(bufferevent *socket, short what, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if ((what & BEV_EVENT_ERROR) != 0 && errno == ECONNREFUSED)
            c->isRefused = true;
        c->connectCallback(socket, what, c->evhttpConnection);
    }

    void onTimer(http_call_id id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        call_state &state = *found->second;
        const bool isConnecting = state.assignedConnection != nullptr && !state.bytesSent;
        if (loop.now() < state.call.deadline && !isConnecting) {
            state.timer = loop.callAt(state.call.deadline, [this, id] { onTimer(id); });
            return;
        }
        if (state.onData && state.headerArrived)
            return;
        if (hasUnreadAnswer(state)) {
            state.timer = loop.callAt(loop.now(), [this, id] { onTimer(id); });
            return;
        }
        if (state.waitingPool != nullptr) {
            leaveQueue(state);
            finish(state, {http_outcome::not_connected, 0, {}, {}});
            return;
        }
        fail(*state.assignedConnection);
    }

    // Returns whether bytes that arrived before the deadline are still unread. After the thread was
    // blocked, libevent needs several rounds to read them: each round polls a limited number of
    // sockets and reads a limited amount from each.
    static bool hasUnreadAnswer(call_state &state)
    {
        if (state.assignedConnection == nullptr || !state.bytesSent)
            return false;
        int unread = 0;
        const int socket = bufferevent_getfd(
            evhttp_connection_get_bufferevent(state.assignedConnection->evhttpConnection));
        if (socket < 0 || ioctl(socket, FIONREAD, &unread) != 0 || unread <= 0)
            return false;
        if (!state.bytesInTime)
            state.bytesInTime = state.receivedBytes + std::size_t(unread);
        return state.receivedBytes < *state.bytesInTime;
    }

    static void leaveQueue(call_state &state)
    {
        auto &queue = state.waitingPool->queue;
        queue.erase(std::find(queue.begin(), queue.end(), state.id));
        state.waitingPool = nullptr;
    }

    // Ends the current call of a connection without a response and closes the connection.
    void fail(connection &c)
    {
        call_state &state = *c.currentCall;
        const auto outcome
            = state.bytesSent ? http_outcome::no_answer : http_outcome::not_connected;
        const bool isRefused = !state.bytesSent && c.isRefused;
        c.currentCall = nullptr;
        dispose(c);
        finish(state, {outcome, 0, {}, {}, isRefused});
    }

    // Reports the result in the next round, since the caller may still be inside send() or
    // stream().
    void finish(call_state &state, http_result result)
    {
        loop.cancel(state.timer);
        const http_call_id id = state.id;
        state.assignedConnection = nullptr;
        state.onData = nullptr;
        loop.post([this, id, alive = std::weak_ptr<int>(lifetimeToken),
                   result = std::move(result)]() mutable {
            if (alive.expired())
                return;
            const auto found = calls.find(id);
            if (found == calls.end())
                return;
            const done_callback done = std::move(found->second->done);
            calls.erase(found);
            done(std::move(result));
        });
    }

    // Shuts a connection down and removes it from its pool. The connection is freed in the next
    // round, since evhttp may be using it further up the stack.
    void dispose(connection &c)
    {
        if (c.isDisposed)
            return;
        c.isDisposed = true;
        // If the connection is established before it is freed, it must not send its request: the
        // call has already been reported as not connected.
        if (!c.isConfigured)
            bufferevent_setcb(evhttp_connection_get_bufferevent(c.evhttpConnection), nullptr,
                              nullptr, nullptr, nullptr);
        // The server must see the end of this connection before a new connection replaces it.
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(c.evhttpConnection)),
                 SHUT_RDWR);
        pool *ownerPool = c.ownerPool;
        if (ownerPool != nullptr)
            ownerPool->connections.remove(&c);
        c.ownerPool = nullptr;
        loop.post([this, address = &c, alive = std::weak_ptr<int>(lifetimeToken)] {
            if (alive.expired())
                return;
            const ip_endpoint to = address->to;
            evhttp_connection_free(address->evhttpConnection);
            connections.erase(address);
            assignQueuedCallsTo(to);
        });
    }

    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (info->n_added == 0 || c->currentCall == nullptr)
            return;
        if (!c->isConfigured) {
            c->isConfigured = true;
            configureSocket(c->evhttpConnection, c->ownerPool == nullptr);
        }
        c->currentCall->bytesSent = true;
    }

    static void onInput(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (c->currentCall != nullptr)
            c->currentCall->receivedBytes += info->n_added;
    }

    static int onHeader(evhttp_request *, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (c->currentCall != nullptr)
            c->currentCall->headerArrived = true;
        return 0;
    }

    static void onChunk(evhttp_request *request, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (c->currentCall != nullptr)
            c->owner->handleChunk(*c, request);
    }

    void handleChunk(connection &c, evhttp_request *request)
    {
        call_state &state = *c.currentCall;
        const std::string bytes = drainBuffer(evhttp_request_get_input_buffer(request));
        if (evhttp_request_get_response_code(request) == 200) {
            // Copied because the callback may cancel the call.
            const data_callback onData = state.onData;
            onData(bytes);
            return;
        }
        state.streamBody += bytes;
        if (state.streamBody.size() > state.call.maxAnswerBytes)
            fail(c);
    }

    static void onClosed(evhttp_connection *, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (!c->isDisposed && c->currentCall == nullptr)
            c->owner->dispose(*c);
    }

    static void onDone(evhttp_request *request, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (c->currentCall != nullptr)
            c->owner->complete(*c, request);
    }

    void complete(connection &c, evhttp_request *request)
    {
        call_state &state = *c.currentCall;
        if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
            fail(c);
            return;
        }
        http_result result;
        result.outcome = http_outcome::answered;
        result.status = evhttp_request_get_response_code(request);
        result.headers = copyHeaders(evhttp_request_get_input_headers(request));
        result.body = state.onData ? state.streamBody
                                   : drainBuffer(evhttp_request_get_input_buffer(request));
        const bool isStreamEnd = state.onData && result.status == 200;
        if (!isStreamEnd && !isComplete(result, state.call.method)) {
            fail(c);
            return;
        }
        c.currentCall = nullptr;
        c.idleSince = loop.now();
        pool *ownerPool = c.ownerPool;
        if (ownerPool == nullptr || int(ownerPool->connections.size()) > ownerPool->limit
            || lowerCase(headerValue(result.headers, "connection")) == "close")
            dispose(c);
        finish(state, std::move(result));
        scheduleSweep();
        if (ownerPool != nullptr)
            loop.post([this, to = c.to, alive = std::weak_ptr<int>(lifetimeToken)] {
                if (!alive.expired())
                    assignQueuedCallsTo(to);
            });
    }

    void assignQueuedCallsTo(const ip_endpoint &to)
    {
        if (const auto found = pools.find(to); found != pools.end())
            assignQueuedCalls(found->second);
    }

    void cancel(http_call_id id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        call_state &state = *found->second;
        loop.cancel(state.timer);
        if (state.waitingPool != nullptr)
            leaveQueue(state);
        if (state.assignedConnection != nullptr) {
            state.assignedConnection->currentCall = nullptr;
            dispose(*state.assignedConnection);
        }
        calls.erase(found);
    }

    void scheduleSweep()
    {
        if (sweepTimer == 0)
            sweepTimer = loop.callAt(loop.now() + settings.idleTimeout, [this] { sweep(); });
    }

    void sweep()
    {
        sweepTimer = 0;
        closeIdle(loop.now() - settings.idleTimeout);
        if (!connections.empty())
            scheduleSweep();
    }

    void closeIdle(instant idleBefore)
    {
        for (auto &[address, c] : connections) {
            if (!c->isDisposed && c->currentCall == nullptr && c->idleSince <= idleBefore)
                dispose(*c);
        }
        // Hosts join and leave the fleet, so pools of unused endpoints are removed.
        for (auto i = pools.begin(); i != pools.end();) {
            const pool &p = i->second;
            const bool isUnused = p.connections.empty() && p.queue.empty()
                && p.limit == settings.maxConnectionsPerEndpoint;
            i = isUnused ? pools.erase(i) : std::next(i);
        }
    }

    event_loop &loop;
    http_client_settings settings;
    std::map<ip_endpoint, pool> pools;
    std::unordered_map<connection *, std::unique_ptr<connection>> connections;
    std::unordered_map<http_call_id, std::unique_ptr<call_state>> calls;
    http_call_id lastCall = 0;
    timer_id sweepTimer = 0;
    std::shared_ptr<int> lifetimeToken = std::make_shared<int>(0); ///< Destroyed with the client.
};

http_client::http_client(event_loop &loop, http_client_settings settings)
    : m_implementation(std::make_unique<implementation>(loop, std::move(settings)))
{ }

http_client::~http_client() = default;

http_call_id http_client::send(http_call call, done_callback done)
{
    return m_implementation->startCall(std::move(call), duration::zero(), nullptr, std::move(done));
}

http_call_id http_client::stream(http_call call, duration receiveTimeout, data_callback onData,
                                 done_callback done)
{
    return m_implementation->startCall(std::move(call), receiveTimeout, std::move(onData),
                                       std::move(done));
}

void http_client::cancel(http_call_id call)
{
    m_implementation->cancel(call);
}

void http_client::setConnectionLimit(const ip_endpoint &endpoint, int limit)
{
    implementation &i = *m_implementation;
    implementation::pool &p = i.poolOf(endpoint);
    p.limit = limit;
    const auto connections = p.connections;
    for (implementation::connection *c : connections) {
        if (c->currentCall == nullptr && int(p.connections.size()) > limit)
            i.dispose(*c);
    }
    i.assignQueuedCalls(p);
}

void http_client::closeIdle()
{
    implementation &i = *m_implementation;
    i.closeIdle(i.loop.now());
}

int http_client::connections(const ip_endpoint &endpoint) const
{
    const auto found = m_implementation->pools.find(endpoint);
    return found == m_implementation->pools.end() ? 0 : int(found->second.connections.size());
}

} // namespace crocuswind
