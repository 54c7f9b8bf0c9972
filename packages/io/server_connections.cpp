#include "server_connections.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <utility>

namespace crocuswind {

namespace {

constexpr duration sweepInterval = 1s;
constexpr duration sweepIntervalUnderPressure = 100ms;
constexpr duration logInterval = 1s;

/// Memory that evhttp uses for each byte of a header that it has parsed, at most: a field of two
/// empty texts has 4 bytes on the wire and three allocations.
constexpr std::size_t headerExpansion = 28;

std::uint64_t keyOf(bufferevent *socket)
{
    return reinterpret_cast<std::uintptr_t>(socket);
}

bufferevent *socketOf(std::uint64_t key)
{
    return reinterpret_cast<bufferevent *>(std::uintptr_t(key));
}

} // namespace

server_connections::server_connections(event_loop &loop, const http_server_settings &settings,
                                       std::function<void()> countChanged)
    : m_loop(loop)
    , m_limits(settings.limits)
    , m_maxHeaderBytes(settings.maxHeaderBytes)
    , m_idleTimeout(settings.idleTimeout)
    , m_name(settings.name)
    , m_countChanged(std::move(countChanged))
    , m_nextLogAt(loop.now())
{ }

server_connections::~server_connections()
{
    m_loop.cancel(m_sweepTimer);
    m_loop.cancel(m_checkTimer);
    m_loop.cancel(m_reliefTimer);
    while (!m_connections.empty())
        erase(m_connections.begin());
}

void server_connections::add(bufferevent *socket)
{
    bufferevent_incref(socket);
    connection &c = m_connections[socket];
    c.owner = this;
    c.socket = socket;
    c.deadline = m_loop.now() + m_idleTimeout;
    c.mayMakeWayFrom = m_loop.now() + m_limits.minimumStay;
    bufferevent_setwatermark(socket, EV_READ, 0, m_limits.readAheadBytes);
    evbuffer_add_cb(bufferevent_get_input(socket), &server_connections::onInput, &c);
    evbuffer_add_cb(bufferevent_get_output(socket), &server_connections::onOutput, &c);
    scheduleSweep();
}

void server_connections::remove(bufferevent *socket)
{
    const auto found = m_connections.find(socket);
    if (found != m_connections.end())
        erase(found);
}

server_connections::connection_map::iterator
server_connections::erase(connection_map::iterator found)
{
    connection &c = found->second;
    evbuffer_remove_cb(bufferevent_get_input(c.socket), &server_connections::onInput, &c);
    evbuffer_remove_cb(bufferevent_get_output(c.socket), &server_connections::onOutput, &c);
    m_heldBytes -= c.heldBytes;
    m_waitingForRoom -= c.isWaitingForRoom ? 1 : 0;
    bufferevent_decref(c.socket);
    return m_connections.erase(found);
}

bool server_connections::beginRequest(bufferevent *socket, std::size_t requestBytes)
{
    const auto found = m_connections.find(socket);
    if (found == m_connections.end())
        return false;
    connection &c = found->second;
    c.hasRequest = true;
    c.requestBytes = requestBytes;
    c.arrivedBytes = unreadBytes(c);
    setReceivingLargeRequest(c, false);
    recount(c);
    return !std::exchange(c.hasReachedHandler, true);
}

void server_connections::endRequest(bufferevent *socket)
{
    const auto found = m_connections.find(socket);
    if (found == m_connections.end())
        return;
    connection &c = found->second;
    c.hasRequest = false;
    c.requestBytes = 0;
    c.deadline = m_loop.now() + m_idleTimeout;
    c.mayMakeWayFrom = m_loop.now() + m_limits.minimumStay;
    recount(c);
}

void server_connections::drain()
{
    m_isDraining = true;
    scheduleSweepBy(m_loop.now());
}

bool server_connections::hasUnsentAnswers() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &entry) {
        return hasUnsentAnswer(entry.second) && !isClosed(entry.second);
    });
}

void server_connections::onInput(evbuffer *, const evbuffer_cb_info *info, void *argument)
{
    auto &c = *static_cast<connection *>(argument);
    server_connections &self = *c.owner;
    c.arrivedBytes += info->n_added;
    self.recount(c);
    const bool isAtLimit = info->n_added != 0 && unreadBytes(c) >= self.m_limits.readAheadBytes;
    if (isAtLimit && hasUnsentAnswer(c) && !std::exchange(c.isPaused, true))
        ++self.m_counters.paused;
    // Before its first request has reached the handler, these bytes may be the last that is seen of
    // the connection, since evhttp does not report its end.
    const bool isCheckNeeded = isAtLimit
        && (!c.isReceivingLargeRequest || unreadBytes(c) >= self.m_limits.largeRequestBytes);
    if (!c.hasReachedHandler || isCheckNeeded)
        self.scheduleCheck(c);
}

void server_connections::onOutput(evbuffer *, const evbuffer_cb_info *, void *argument)
{
    auto &c = *static_cast<connection *>(argument);
    server_connections &self = *c.owner;
    self.recount(c);
    if (!hasUnsentAnswer(c))
        c.isPaused = false;
    const bool mayContinue = !hasUnsentAnswer(c) && unreadBytes(c) >= self.m_limits.readAheadBytes;
    if (!c.hasReachedHandler || mayContinue)
        self.scheduleCheck(c);
}

bool server_connections::isClosed(const connection &c)
{
    bufferevent_data_cb onRead = nullptr;
    bufferevent_data_cb onWrite = nullptr;
    bufferevent_event_cb onEvent = nullptr;
    bufferevent_getcb(c.socket, &onRead, &onWrite, &onEvent, nullptr);
    return onRead == nullptr && onWrite == nullptr && onEvent == nullptr;
}

bool server_connections::hasUnsentAnswer(const connection &c)
{
    return evbuffer_get_length(bufferevent_get_output(c.socket)) != 0;
}

std::size_t server_connections::unreadBytes(const connection &c)
{
    return evbuffer_get_length(bufferevent_get_input(c.socket));
}

bool server_connections::isIdle(const connection &c)
{
    return !c.hasRequest && unreadBytes(c) == 0 && !hasUnsentAnswer(c);
}

// Bytes that evhttp has taken from the input are the header of the next request, or a chunked body.
std::size_t server_connections::arrivingBytes(const connection &c) const
{
    const std::size_t unread = unreadBytes(c);
    const std::size_t taken = std::max(c.arrivedBytes, unread) - unread;
    const std::size_t header = std::min(taken, m_maxHeaderBytes);
    const std::size_t arriving = unread + header * headerExpansion + (taken - header);
    return c.isReceivingLargeRequest ? std::max(arriving, m_limits.largeRequestBytes) : arriving;
}

connection_load server_connections::loadOf(const connection &c)
{
    connection_load load;
    load.connection = keyOf(c.socket);
    load.unreadBytes = unreadBytes(c);
    load.heldBytes = c.heldBytes;
    load.isServing = c.hasRequest;
    load.hasUnsentAnswer = hasUnsentAnswer(c);
    load.isWaitingForRoom = c.isWaitingForRoom;
    load.mayMakeWayFrom = c.mayMakeWayFrom;
    return load;
}

void server_connections::recount(connection &c)
{
    const std::size_t held
        = arrivingBytes(c) + c.requestBytes + evbuffer_get_length(bufferevent_get_output(c.socket));
    m_heldBytes += held - std::exchange(c.heldBytes, held);
    if (m_heldBytes > m_limits.maxHeldBytes)
        scheduleRelief();
}

void server_connections::setReceivingLargeRequest(connection &c, bool isReceiving)
{
    if (std::exchange(c.isWaitingForRoom, false)) {
        --m_waitingForRoom;
        bufferevent_enable(c.socket, EV_READ);
    }
    if (std::exchange(c.isReceivingLargeRequest, isReceiving) == isReceiving)
        return;
    bufferevent_setwatermark(c.socket, EV_READ, 0,
                             isReceiving ? m_limits.largeRequestBytes : m_limits.readAheadBytes);
}

void server_connections::scheduleCheck(connection &c)
{
    if (std::exchange(c.isCheckDue, true))
        return;
    m_toCheck.push_back(c.socket);
    if (m_checkTimer == 0)
        m_checkTimer = m_loop.callAt(m_loop.now(), [this] { checkDue(); });
}

// Removes those connections that evhttp has closed. Until then, their bufferevents keep the
// descriptors open and go on reading. Lets the others receive a large request if they need to.
void server_connections::checkDue()
{
    m_checkTimer = 0;
    for (bufferevent *socket : std::exchange(m_toCheck, {})) {
        const auto found = m_connections.find(socket);
        if (found == m_connections.end())
            continue;
        found->second.isCheckDue = false;
        if (isClosed(found->second))
            erase(found);
        else
            updateReading(found->second);
    }
    m_countChanged();
}

void server_connections::updateReading(connection &c)
{
    const connection_load load = loadOf(c);
    if (!needsLargeRequest(m_limits, load))
        return;
    if (c.isReceivingLargeRequest) {
        // evhttp has left more than the largest request unparsed: it will never be complete.
        if (load.unreadBytes >= m_limits.largeRequestBytes) {
            ++m_counters.closedForMemory;
            close(c.socket);
        }
        return;
    }
    if (mayReceiveLargeRequest(m_limits, load, m_heldBytes)) {
        setReceivingLargeRequest(c, true);
        recount(c);
    } else if (!std::exchange(c.isWaitingForRoom, true)) {
        // At the watermark, libevent would call evhttp again and again.
        bufferevent_disable(c.socket, EV_READ);
        ++m_waitingForRoom;
        ++m_counters.waitedForRoom;
        scheduleSweep();
    }
}

void server_connections::scheduleRelief()
{
    if (m_reliefTimer == 0)
        m_reliefTimer = m_loop.callAt(m_loop.now(), [this] { relieve(); });
}

// Closes connections as the limits demand.
void server_connections::relieve()
{
    m_loop.cancel(std::exchange(m_reliefTimer, 0));
    if (m_heldBytes <= m_limits.maxHeldBytes && m_waitingForRoom == 0 && !isFull())
        return;
    std::vector<connection_load> loads;
    loads.reserve(m_connections.size());
    for (const auto &[socket, c] : m_connections)
        loads.push_back(loadOf(c));
    const auto chosen = chooseConnectionsToClose(m_limits, std::move(loads), m_loop.now());
    for (const std::uint64_t key : chosen.heaviest)
        close(socketOf(key));
    for (const std::uint64_t key : chosen.longestIdle)
        close(socketOf(key));
    m_counters.closedForMemory += chosen.heaviest.size();
    m_counters.closedForOthers += chosen.longestIdle.size();
    m_countChanged();
}

// Must be called from a timer, since evhttp may use the connection further up the stack otherwise.
void server_connections::close(bufferevent *socket)
{
    const auto found = m_connections.find(socket);
    if (found == m_connections.end())
        return;
    if (!isClosed(found->second)) {
        void *evhttpConnection = nullptr; // The argument of evhttp's callbacks.
        bufferevent_getcb(socket, nullptr, nullptr, nullptr, &evhttpConnection);
        evhttp_connection_free(static_cast<evhttp_connection *>(evhttpConnection));
    }
    remove(socket);
}

void server_connections::scheduleSweep()
{
    const bool isUnderPressure = isFull() || m_waitingForRoom != 0;
    scheduleSweepBy(m_loop.now() + (isUnderPressure ? sweepIntervalUnderPressure : sweepInterval));
}

// Keeps an earlier time, so that a flood of connections does not defer the sweep again and again.
void server_connections::scheduleSweepBy(instant time)
{
    if (m_sweepTimer != 0 && m_sweepAt <= time)
        return;
    m_loop.cancel(m_sweepTimer);
    m_sweepAt = time;
    m_sweepTimer = m_loop.callAt(time, [this] {
        m_sweepTimer = 0;
        sweep();
    });
}

void server_connections::sweep()
{
    closeOverdue();
    relieve();
    for (auto &[socket, c] : m_connections) {
        if (c.isWaitingForRoom)
            scheduleCheck(c);
    }
    logLimits();
    m_countChanged();
    scheduleSweep();
}

// Removes connections that evhttp has closed, and closes connections that have timed out.
void server_connections::closeOverdue()
{
    const instant now = m_loop.now();
    std::vector<bufferevent *> overdue;
    for (auto i = m_connections.begin(); i != m_connections.end();) {
        const connection &c = i->second;
        if (isClosed(c)) {
            i = erase(i);
            continue;
        }
        const bool isOverdue = !c.hasRequest && c.deadline < now;
        m_counters.closedUnread += isOverdue && hasUnsentAnswer(c) ? 1 : 0;
        if (isOverdue || (m_isDraining && isIdle(c)))
            overdue.push_back(i->first);
        ++i;
    }
    for (bufferevent *socket : overdue)
        close(socket);
}

void server_connections::logLimits()
{
    if (m_counters == m_loggedCounters || m_loop.now() < m_nextLogAt)
        return;
    m_nextLogAt = m_loop.now() + logInterval;
    m_loggedCounters = m_counters;
    m_log.info("event=connections_limited server={} connections={} held_bytes={} paused={} "
               "waited_for_room={} closed_unread={} closed_for_memory={} closed_for_others={}",
               m_name, m_connections.size(), m_heldBytes, m_counters.paused,
               m_counters.waitedForRoom, m_counters.closedUnread, m_counters.closedForMemory,
               m_counters.closedForOthers);
}

} // namespace crocuswind
