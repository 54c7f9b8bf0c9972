#include "http_client.h"

#include "http_wire.h"
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

// Added to evhttp's own time-out, so that the client's timers always come first.
constexpr duration timeoutMargin = 5s;

// Room beside a piece of a stream for chunk sizes and header.
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
        piece_callback piece; ///< Set for streams.
        duration receiveTimeout = duration::zero();
        pool *queue = nullptr; ///< The pool in whose queue the call waits, or null.
        connection *carrier = nullptr;
        timer_id timer = 0;
        bool bytesSent = false;
        bool headerArrived = false;
        std::size_t receivedBytes = 0;
        /// Set when the deadline has passed: what was received until then, read or not.
        std::optional<std::size_t> bytesInTime;
        std::string streamBody; ///< Body of a stream's answer with a status other than 200.
    };

    struct connection
    {
        implementation *owner = nullptr;
        pool *home = nullptr; ///< Null for streams.
        evhttp_connection *wire = nullptr;
        call_state *current = nullptr;
        ip_endpoint to;
        bool isDisposed = false;
        bool isConfigured = false;
        bool isRefused = false;
        bufferevent_event_cb connectCallback = nullptr; ///< Of evhttp, while connecting.
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
            evhttp_connection_free(connection->wire);
        }
    }

    http_call_id begin(http_call call, duration receiveTimeout, piece_callback piece,
                       done_callback done)
    {
        const http_call_id id = ++lastCall;
        auto owned = std::make_unique<call_state>();
        call_state &state = *owned;
        state.id = id;
        state.call = std::move(call);
        state.done = std::move(done);
        state.piece = std::move(piece);
        state.receiveTimeout = receiveTimeout;
        calls.emplace(id, std::move(owned));
        if (!isNumericEndpoint(state.call.to) || state.call.deadline <= loop.now()) {
            finish(state, {http_outcome::not_connected, 0, {}, {}});
            return id;
        }
        if (state.piece) {
            if (connection *c = connect(state.call.to, nullptr))
                start(state, *c);
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
        state.queue = &p;
        state.timer = loop.callAt(state.call.deadline, [this, id] { onTimer(id); });
        serve(p);
        return id;
    }

    pool &poolOf(const ip_endpoint &endpoint)
    {
        const auto [found, isNew] = pools.try_emplace(endpoint);
        if (isNew)
            found->second.limit = settings.maxConnectionsPerEndpoint;
        return found->second;
    }

    // Gives queued calls to idle connections, then to new ones while the limit allows.
    void serve(pool &p)
    {
        while (!p.queue.empty()) {
            call_state &next = *calls.at(p.queue.front());
            connection *carrier = idleConnection(p);
            if (carrier == nullptr && int(p.connections.size()) >= p.limit)
                return;
            if (carrier == nullptr)
                carrier = connect(next.call.to, &p);
            p.queue.pop_front();
            next.queue = nullptr;
            loop.cancel(next.timer);
            if (carrier != nullptr)
                start(next, *carrier);
            else
                finish(next, {http_outcome::not_connected, 0, {}, {}});
        }
    }

    connection *idleConnection(pool &p)
    {
        while (true) {
            const auto idle
                = std::find_if(p.connections.begin(), p.connections.end(),
                               [](const connection *c) { return c->current == nullptr; });
            if (idle == p.connections.end())
                return nullptr;
            connection *c = *idle;
            const bool isWithinLimit = int(p.connections.size()) <= p.limit;
            if (isWithinLimit && isUsable(c->wire))
                return c;
            dispose(*c);
        }
    }

    connection *connect(const ip_endpoint &to, pool *home)
    {
        evhttp_connection *wire = newClientConnection(loop, settings, to);
        if (wire == nullptr)
            return nullptr;
        auto owned = std::make_unique<connection>();
        connection &c = *owned;
        c.owner = this;
        c.home = home;
        c.to = to;
        c.wire = wire;
        evhttp_connection_set_closecb(wire, &implementation::onClosed, &c);
        evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(wire)),
                        &implementation::onOutput, &c);
        evbuffer_add_cb(bufferevent_get_input(evhttp_connection_get_bufferevent(wire)),
                        &implementation::onInput, &c);
        writeAllAtOnce(evhttp_connection_get_bufferevent(wire));
        // A stream is read as its user takes it.
        if (home != nullptr && !settings.tls)
            readAllThatArrived(evhttp_connection_get_bufferevent(wire));
        if (home != nullptr)
            home->connections.push_back(&c);
        connections.emplace(&c, std::move(owned));
        return &c;
    }

    void start(call_state &state, connection &c)
    {
        state.carrier = &c;
        c.current = &state;
        const http_call &call = state.call;
        const instant now = loop.now();
        const bool isStream = bool(state.piece);
        const duration silence
            = (isStream ? state.receiveTimeout : call.deadline - now) + timeoutMargin;
        const timeval limit = toTimeval(silence);
        evhttp_connection_set_timeout_tv(c.wire, &limit);
        // A stream has no total size; its pieces are bounded by what the socket may buffer.
        evhttp_connection_set_max_body_size(c.wire,
                                            isStream ? -1 : ev_ssize_t(call.maxAnswerBytes));
        if (isStream)
            bufferevent_setwatermark(evhttp_connection_get_bufferevent(c.wire), EV_READ, 0,
                                     call.maxAnswerBytes + streamBufferMargin);

        evhttp_request *request = evhttp_request_new(&implementation::onDone, &c);
        evhttp_request_set_header_cb(request, &implementation::onHeader);
        if (isStream)
            evhttp_request_set_chunked_cb(request, &implementation::onPiece);
        fillRequest(request, call);

        const instant connected = std::min(call.deadline, now + settings.connectTimeout);
        state.timer = loop.callAt(connected, [this, id = state.id] { onTimer(id); });
        // May call onDone() at once, if the system refuses the connection without waiting.
        errno = 0;
        const int failed
            = evhttp_make_request(c.wire, request, commandOf(call.method), call.path.c_str());
        c.isRefused = errno == ECONNREFUSED;
        if (failed != 0 && c.current == &state)
            fail(c);
        else if (!c.isConfigured && !c.isDisposed && !settings.tls)
            watchConnect(c);
    }

    // evhttp does not say why a connection failed, and closes the socket before it reports that.
    static void watchConnect(connection &c)
    {
        bufferevent *socket = evhttp_connection_get_bufferevent(c.wire);
        bufferevent_getcb(socket, nullptr, nullptr, &c.connectCallback, nullptr);
        bufferevent_setcb(socket, nullptr, nullptr, &implementation::onConnect, &c);
    }

    // Once connected, evhttp sets its own callbacks again.
    static void onConnect(bufferevent *socket, short what, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if ((what & BEV_EVENT_ERROR) != 0 && errno == ECONNREFUSED)
            c->isRefused = true;
        c->connectCallback(socket, what, c->wire);
    }

    void onTimer(http_call_id id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        call_state &state = *found->second;
        const bool isConnecting = state.carrier != nullptr && !state.bytesSent;
        if (loop.now() < state.call.deadline && !isConnecting) {
            state.timer = loop.callAt(state.call.deadline, [this, id] { onTimer(id); });
            return;
        }
        if (state.piece && state.headerArrived)
            return;
        if (hasUnreadAnswer(state)) {
            state.timer = loop.callAt(loop.now(), [this, id] { onTimer(id); });
            return;
        }
        if (state.queue != nullptr) {
            leaveQueue(state);
            finish(state, {http_outcome::not_connected, 0, {}, {}});
            return;
        }
        fail(*state.carrier);
    }

    // Whether some of what arrived in time is unread. When the thread was held up, libevent takes
    // several rounds to read it: it asks few sockets at a time and reads little from each.
    static bool hasUnreadAnswer(call_state &state)
    {
        if (state.carrier == nullptr || !state.bytesSent)
            return false;
        int unread = 0;
        const int socket
            = bufferevent_getfd(evhttp_connection_get_bufferevent(state.carrier->wire));
        if (socket < 0 || ioctl(socket, FIONREAD, &unread) != 0 || unread <= 0)
            return false;
        if (!state.bytesInTime)
            state.bytesInTime = state.receivedBytes + std::size_t(unread);
        return state.receivedBytes < *state.bytesInTime;
    }

    static void leaveQueue(call_state &state)
    {
        auto &queue = state.queue->queue;
        queue.erase(std::find(queue.begin(), queue.end(), state.id));
        state.queue = nullptr;
    }

    // Ends the current call of a connection without an answer, and the connection with it.
    void fail(connection &c)
    {
        call_state &state = *c.current;
        const auto outcome
            = state.bytesSent ? http_outcome::no_answer : http_outcome::not_connected;
        const bool isRefused = !state.bytesSent && c.isRefused;
        c.current = nullptr;
        dispose(c);
        finish(state, {outcome, 0, {}, {}, isRefused});
    }

    // Hands the result over in the next round, since this may run within a caller's own call.
    void finish(call_state &state, http_result result)
    {
        loop.cancel(state.timer);
        const http_call_id id = state.id;
        state.carrier = nullptr;
        state.piece = nullptr;
        loop.post(
            [this, id, alive = std::weak_ptr<int>(life), result = std::move(result)]() mutable {
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

    // Takes a connection out of use. It is freed in the next round, since evhttp may be working on
    // it further up the stack.
    void dispose(connection &c)
    {
        if (c.isDisposed)
            return;
        c.isDisposed = true;
        // A connection that comes about before it is freed must not send its request any more: the
        // call has ended as not connected.
        if (!c.isConfigured)
            bufferevent_setcb(evhttp_connection_get_bufferevent(c.wire), nullptr, nullptr, nullptr,
                              nullptr);
        // The server sees the end now, before a connection that takes this one's place.
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(c.wire)), SHUT_RDWR);
        pool *home = c.home;
        if (home != nullptr)
            home->connections.remove(&c);
        c.home = nullptr;
        loop.post([this, address = &c, alive = std::weak_ptr<int>(life)] {
            if (alive.expired())
                return;
            const ip_endpoint to = address->to;
            evhttp_connection_free(address->wire);
            connections.erase(address);
            serveEndpoint(to);
        });
    }

    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (info->n_added == 0 || c->current == nullptr)
            return;
        if (!c->isConfigured) {
            c->isConfigured = true;
            configureSocket(c->wire, c->home == nullptr);
        }
        c->current->bytesSent = true;
    }

    static void onInput(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (c->current != nullptr)
            c->current->receivedBytes += info->n_added;
    }

    static int onHeader(evhttp_request *, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (c->current != nullptr)
            c->current->headerArrived = true;
        return 0;
    }

    static void onPiece(evhttp_request *request, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (c->current != nullptr)
            c->owner->takePiece(*c, request);
    }

    void takePiece(connection &c, evhttp_request *request)
    {
        call_state &state = *c.current;
        const std::string bytes = takeBuffer(evhttp_request_get_input_buffer(request));
        if (evhttp_request_get_response_code(request) == 200) {
            // A copy, since the callback may cancel the call.
            const piece_callback piece = state.piece;
            piece(bytes);
            return;
        }
        state.streamBody += bytes;
        if (state.streamBody.size() > state.call.maxAnswerBytes)
            fail(c);
    }

    static void onClosed(evhttp_connection *, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (!c->isDisposed && c->current == nullptr)
            c->owner->dispose(*c);
    }

    static void onDone(evhttp_request *request, void *argument)
    {
        auto *c = static_cast<connection *>(argument);
        if (c->current != nullptr)
            c->owner->complete(*c, request);
    }

    void complete(connection &c, evhttp_request *request)
    {
        call_state &state = *c.current;
        if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
            fail(c);
            return;
        }
        http_result result;
        result.outcome = http_outcome::answered;
        result.status = evhttp_request_get_response_code(request);
        result.headers = copyHeaders(evhttp_request_get_input_headers(request));
        result.body
            = state.piece ? state.streamBody : takeBuffer(evhttp_request_get_input_buffer(request));
        const bool isStreamEnd = state.piece && result.status == 200;
        if (!isStreamEnd && !isWhole(result, state.call.method)) {
            fail(c);
            return;
        }
        c.current = nullptr;
        c.idleSince = loop.now();
        pool *home = c.home;
        if (home == nullptr || int(home->connections.size()) > home->limit
            || lowerCase(headerValue(result.headers, "connection")) == "close")
            dispose(c);
        finish(state, std::move(result));
        scheduleSweep();
        if (home != nullptr)
            loop.post([this, to = c.to, alive = std::weak_ptr<int>(life)] {
                if (!alive.expired())
                    serveEndpoint(to);
            });
    }

    void serveEndpoint(const ip_endpoint &to)
    {
        if (const auto found = pools.find(to); found != pools.end())
            serve(found->second);
    }

    void cancel(http_call_id id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        call_state &state = *found->second;
        loop.cancel(state.timer);
        if (state.queue != nullptr)
            leaveQueue(state);
        if (state.carrier != nullptr) {
            state.carrier->current = nullptr;
            dispose(*state.carrier);
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
            if (!c->isDisposed && c->current == nullptr && c->idleSince <= idleBefore)
                dispose(*c);
        }
        // Endpoints come and go with the hosts of the fleet.
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
    std::shared_ptr<int> life = std::make_shared<int>(0); ///< Expires with the client.
};

http_client::http_client(event_loop &loop, http_client_settings settings)
    : m_implementation(std::make_unique<implementation>(loop, std::move(settings)))
{ }

http_client::~http_client() = default;

http_call_id http_client::send(http_call call, done_callback done)
{
    return m_implementation->begin(std::move(call), duration::zero(), nullptr, std::move(done));
}

http_call_id http_client::stream(http_call call, duration receiveTimeout, piece_callback piece,
                                 done_callback done)
{
    return m_implementation->begin(std::move(call), receiveTimeout, std::move(piece),
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
        if (c->current == nullptr && int(p.connections.size()) > limit)
            i.dispose(*c);
    }
    i.serve(p);
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
