#include "http_client.h"

#include "evhttp_helpers.h"
#include "http_call_state.h"
#include "http_connection.h"
#include "http_connection_pool.h"

#include <algorithm>
#include <event2/http.h>
#include <iterator>
#include <map>
#include <unordered_map>
#include <utility>

namespace crocuswind {

struct http_client::implementation final : http_connection_events
{
    implementation(event_loop &l, http_client_settings s)
        : loop(l)
        , settings(std::move(s))
    { }

    ~implementation() override
    {
        loop.cancel(sweepTimer);
        for (auto &[id, state] : calls)
            loop.cancel(state->timer);
        connections.clear();
    }

    http_call_id startCall(http_call call, duration receiveTimeout, data_callback onData,
                           done_callback done)
    {
        const http_call_id id = ++lastCall;
        auto owned = std::make_unique<http_call_state>();
        http_call_state &state = *owned;
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
            if (http_connection *c = connect(state.call.to, nullptr))
                sendRequest(state, *c);
            else
                finish(state, {http_outcome::not_connected, 0, {}, {}});
            return id;
        }
        http_connection_pool &p = poolOf(state.call.to);
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

    http_connection_pool &poolOf(const ip_endpoint &endpoint)
    {
        const auto [found, isNew] = pools.try_emplace(endpoint);
        if (isNew)
            found->second.limit = settings.maxConnectionsPerEndpoint;
        return found->second;
    }

    // Assigns queued calls to idle connections, and to new ones up to the connection limit.
    void assignQueuedCalls(http_connection_pool &p)
    {
        while (!p.queue.empty()) {
            http_call_state &next = *calls.at(p.queue.front());
            http_connection *assignedConnection = idleConnection(p);
            if (assignedConnection == nullptr && p.isFull())
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

    http_connection *idleConnection(http_connection_pool &p)
    {
        while (true) {
            const auto idle
                = std::find_if(p.connections.begin(), p.connections.end(),
                               [](const http_connection *c) { return c->currentCall == nullptr; });
            if (idle == p.connections.end())
                return nullptr;
            http_connection *c = *idle;
            if (!p.isAboveLimit() && isReusable(c->evhttpConnection))
                return c;
            dispose(*c);
        }
    }

    http_connection *connect(const ip_endpoint &to, http_connection_pool *ownerPool)
    {
        auto owned = http_connection::create(loop, settings, to, ownerPool, *this);
        if (owned == nullptr)
            return nullptr;
        http_connection &c = *owned;
        if (ownerPool != nullptr)
            ownerPool->connections.push_back(&c);
        connections.emplace(&c, std::move(owned));
        return &c;
    }

    void sendRequest(http_call_state &state, http_connection &c)
    {
        state.assignedConnection = &c;
        c.currentCall = &state;
        const instant now = loop.now();
        const instant connected = std::min(state.call.deadline, now + settings.connectTimeout);
        state.timer = loop.callAt(connected, [this, id = state.id] { onTimer(id); });
        const bool isAccepted = c.sendCurrentCall(now);
        if (!isAccepted && c.currentCall == &state)
            fail(c);
        else if (!c.isConfigured && !c.isDisposed && !settings.tls)
            c.watchConnect();
    }

    void onTimer(http_call_id id)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
            return;
        http_call_state &state = *found->second;
        const bool isConnecting = state.assignedConnection != nullptr && !state.bytesSent;
        if (loop.now() < state.call.deadline && !isConnecting) {
            state.timer = loop.callAt(state.call.deadline, [this, id] { onTimer(id); });
            return;
        }
        if (state.onData && state.headerArrived)
            return;
        if (state.assignedConnection != nullptr
            && state.assignedConnection->hasUnreadAnswer(state)) {
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

    static void leaveQueue(http_call_state &state)
    {
        auto &queue = state.waitingPool->queue;
        queue.erase(std::find(queue.begin(), queue.end(), state.id));
        state.waitingPool = nullptr;
    }

    // Ends the current call of a connection without a response and closes the connection.
    void fail(http_connection &c)
    {
        http_call_state &state = *c.currentCall;
        const auto outcome
            = state.bytesSent ? http_outcome::no_answer : http_outcome::not_connected;
        const bool isRefused = !state.bytesSent && c.isRefused;
        c.currentCall = nullptr;
        dispose(c);
        finish(state, {outcome, 0, {}, {}, isRefused});
    }

    // Reports the result in the next round, since the caller may still be inside send() or
    // stream().
    void finish(http_call_state &state, http_result result)
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
    void dispose(http_connection &c)
    {
        if (c.isDisposed)
            return;
        c.shutDown();
        http_connection_pool *ownerPool = c.ownerPool;
        if (ownerPool != nullptr)
            ownerPool->connections.remove(&c);
        c.ownerPool = nullptr;
        loop.post([this, address = &c, alive = std::weak_ptr<int>(lifetimeToken)] {
            if (alive.expired())
                return;
            const ip_endpoint to = address->to;
            connections.erase(address);
            assignQueuedCallsTo(to);
        });
    }

    void onStreamBytes(http_connection &c, evhttp_request *request) override
    {
        http_call_state &state = *c.currentCall;
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

    void onIdleClosed(http_connection &c) override { dispose(c); }

    void onResponse(http_connection &c, evhttp_request *request) override
    {
        http_call_state &state = *c.currentCall;
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
        http_connection_pool *ownerPool = c.ownerPool;
        if (ownerPool == nullptr || ownerPool->isAboveLimit()
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
        http_call_state &state = *found->second;
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
            const http_connection_pool &p = i->second;
            const bool isUnused = p.connections.empty() && p.queue.empty()
                && p.limit == settings.maxConnectionsPerEndpoint;
            i = isUnused ? pools.erase(i) : std::next(i);
        }
    }

    event_loop &loop;
    http_client_settings settings;
    std::map<ip_endpoint, http_connection_pool> pools;
    std::unordered_map<http_connection *, std::unique_ptr<http_connection>> connections;
    std::unordered_map<http_call_id, std::unique_ptr<http_call_state>> calls;
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
    http_connection_pool &p = i.poolOf(endpoint);
    p.limit = limit;
    const auto connections = p.connections;
    for (http_connection *c : connections) {
        if (c->currentCall == nullptr && p.isAboveLimit())
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
