/// Tracks the connections of a server, bounds what they hold in memory and closes those that are
/// overdue or have to make way; private to the package.
#ifndef CROCUSWIND_IO_SERVER_CONNECTIONS_H
#define CROCUSWIND_IO_SERVER_CONNECTIONS_H

#include "event_loop.h"
#include "http_server.h"
#include "logger.h"

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace crocuswind {

/// The connections of a server. evhttp does not report that a connection was opened, nor that it
/// was closed before its first request reached the handler, for instance because evhttp answered
/// the request itself. The server therefore creates the bufferevent of each connection, and this
/// class keeps a reference to it: when evhttp frees the bufferevent, its callbacks are cleared. The
/// bufferevent also owns the descriptor. If evhttp closed it, the loop would still watch the closed
/// descriptor until the reference is dropped, and would not watch the next connection that has the
/// same descriptor.
///
/// evhttp answers the requests of a connection one after the other. While an answer is being sent
/// it goes on reading, without looking at what it reads, so a bound on the bytes read is set here.
class server_connections
{
public:
    /// Calls \p countChanged when connections were removed, from the loop.
    server_connections(event_loop &loop, const http_server_settings &settings,
                       std::function<void()> countChanged);

    /// Drops the references. Must be called after evhttp has freed its connections.
    ~server_connections();
    server_connections(const server_connections &) = delete;
    server_connections &operator=(const server_connections &) = delete;

    /// Adds a connection that is about to be accepted.
    void add(bufferevent *socket);

    /// Removes a connection that evhttp is about to free.
    void remove(bufferevent *socket);

    /// Notes that a request was passed to the handler, and holds \p requestBytes until
    /// endRequest(). Returns whether it is the first request of the connection.
    bool beginRequest(bufferevent *socket, std::size_t requestBytes);

    /// Notes that the request was answered or its client has disconnected.
    void endRequest(bufferevent *socket);

    /// Closes connections that are idle, now and from now on.
    void drain();

    /// Returns whether no further connection may be accepted.
    bool isFull() const { return m_connections.size() >= m_limits.maxConnections; }

    /// Returns whether a part of an answer has not been passed to the system yet.
    bool hasUnsentAnswers() const;

    std::size_t size() const { return m_connections.size(); }
    std::size_t heldBytes() const { return m_heldBytes; }
    const connection_counters &counters() const { return m_counters; }

private:
    struct connection
    {
        server_connections *owner = nullptr;
        bufferevent *socket = nullptr;
        instant deadline; ///< Without a complete request by then, it is closed.
        instant mayMakeWayFrom; ///< End of its minimum stay.
        std::size_t arrivedBytes = 0; ///< Since the last request was passed to the handler.
        std::size_t requestBytes = 0; ///< Of the request that is being processed.
        std::size_t heldBytes = 0;
        bool hasRequest = false;
        bool hasReachedHandler = false; ///< evhttp reports its end from then on.
        bool isCheckDue = false;
        bool isPaused = false; ///< It is not read until its answer has been sent.
        bool isReceivingLargeRequest = false;
        bool isWaitingForRoom = false; ///< To receive a large request.
    };
    using connection_map = std::unordered_map<bufferevent *, connection>;

    static void onInput(evbuffer *, const evbuffer_cb_info *info, void *argument);
    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *argument);
    static bool isClosed(const connection &c);
    static bool hasUnsentAnswer(const connection &c);
    static bool isIdle(const connection &c);
    static std::size_t unreadBytes(const connection &c);

    std::size_t arrivingBytes(const connection &c) const;
    static connection_load loadOf(const connection &c);
    void recount(connection &c);
    void setReceivingLargeRequest(connection &c, bool isReceiving);
    void scheduleCheck(connection &c);
    void checkDue();
    void updateReading(connection &c);
    void scheduleRelief();
    void relieve();
    void close(bufferevent *socket);
    connection_map::iterator erase(connection_map::iterator found);
    void scheduleSweepBy(instant time);
    void scheduleSweep();
    void sweep();
    void closeOverdue();
    void logLimits();

    event_loop &m_loop;
    connection_limits m_limits;
    std::size_t m_maxHeaderBytes;
    duration m_idleTimeout;
    std::string m_name;
    std::function<void()> m_countChanged;
    logger m_log{"connections"};
    connection_map m_connections;
    std::size_t m_heldBytes = 0;
    std::size_t m_waitingForRoom = 0;
    std::vector<bufferevent *> m_toCheck; ///< Sockets whose state may have to change.
    connection_counters m_counters;
    connection_counters m_loggedCounters;
    instant m_nextLogAt;
    timer_id m_sweepTimer = 0;
    instant m_sweepAt; ///< When the timer is due, if it is set.
    timer_id m_checkTimer = 0;
    timer_id m_reliefTimer = 0;
    bool m_isDraining = false;
};

} // namespace crocuswind

#endif
