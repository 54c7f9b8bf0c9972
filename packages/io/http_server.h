/// Defines the HTTP/1.1 server of a process, which uses libevent's evhttp and bounds every resource
/// that a client can consume.
#ifndef CROCUSWIND_IO_HTTP_SERVER_H
#define CROCUSWIND_IO_HTTP_SERVER_H

#include "endpoint.h"
#include "event_loop.h"
#include "http_message.h"
#include "tls_context.h"

#include "policy/policy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <tuple>

namespace crocuswind {

/// Limits and timeouts of a server.
struct http_server_settings
{
    /// Maximum size of request line and header together; a larger request is refused.
    std::size_t maxHeaderBytes = 16 * 1024;
    /// A request with a larger body is answered with 413 without reading the body, and the
    /// connection is closed. A client that is still sending may see a connection reset instead of
    /// the response.
    std::size_t maxBodyBytes = 1024 * 1024;
    /// What connections may hold. Raised as far as the sizes of requests above demand. At the
    /// maximum number, no further connection is accepted until others are closed.
    connection_limits limits;
    /// Time in which a client must have read the last response and sent its next complete request;
    /// otherwise the connection is closed. This covers idle connections, slow senders and slow
    /// readers. The timeout does not apply while a request is being processed.
    duration idleTimeout = 30s;
    std::shared_ptr<tls_context> tls; ///< Plain HTTP if null.
    std::string name = "http"; ///< Names the server in log lines.
};

/// How often the limits on connections took effect.
struct connection_counters
{
    std::uint64_t paused = 0; ///< A connection was not read until its answer had been sent.
    std::uint64_t waitedForRoom = 0; ///< A large request had to wait until memory was free.
    std::uint64_t closedUnread = 0; ///< Closed because the client did not take its answer in time.
    std::uint64_t closedForMemory = 0; ///< Closed because all connections held too much memory.
    std::uint64_t closedForOthers = 0; ///< Closed while idle, so that others can be accepted.

    friend bool operator==(const connection_counters &a, const connection_counters &b)
    {
        const auto tied = [](const connection_counters &c) {
            return std::tie(c.paused, c.waitedForRoom, c.closedUnread, c.closedForMemory,
                            c.closedForOthers);
        };
        return tied(a) == tied(b);
    }
    friend bool operator!=(const connection_counters &a, const connection_counters &b)
    {
        return !(a == b);
    }
};

/// Sends the response to one request, at once or later. Copies refer to the same request. If all
/// copies are destroyed without an answer, the client receives status 500.
class http_responder
{
public:
    /// Sends the response. Only the first call has an effect, and only while the client is
    /// connected.
    void answer(const http_response &response) const;

    /// Calls \p function if the client disconnects before the answer; a second call replaces the
    /// function. The function is called from the loop, never from within this call. It is also
    /// called if the client disconnected before this call.
    void onDisconnect(std::function<void()> function) const;

    /// Returns whether the client disconnected before the answer.
    bool isDisconnected() const;

private:
    friend class http_server;
    struct state;
    explicit http_responder(std::shared_ptr<state> s);
    std::shared_ptr<state> m_state;
};

/// A server with one handler for all paths.
class http_server
{
public:
    /// Receives each complete request. May answer at once or keep the responder to answer later.
    using handler = std::function<void(http_request request, http_responder responder)>;

    http_server(event_loop &loop, http_server_settings settings, handler h);

    /// Closes all connections. Unanswered requests count as disconnected, but the functions given
    /// to onDisconnect() are not called.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Listens on \p where; port 0 selects any free port. Returns the actual endpoint, or a message
    /// that contains the address and the reason, for instance that the port is in use.
    tl::expected<ip_endpoint, std::string> listen(const ip_endpoint &where);

    /// Stops accepting connections and closes idle ones. Open requests, and requests that arrive on
    /// open connections, are answered with `connection: close`.
    void stopAccepting();

    /// Returns the number of unanswered requests whose client is still connected.
    std::size_t openRequests() const;

    /// Returns true if no request is open and all answers have been passed to the system. A process
    /// that ends before loses answers.
    bool isIdle() const;

    /// Returns the number of open connections.
    std::size_t openConnections() const;

    /// Returns the name from the settings.
    const std::string &name() const;

    /// Returns the bytes that all connections hold.
    std::size_t heldBytes() const;

    /// Returns how often the limits on connections took effect.
    const connection_counters &connectionCounters() const;

private:
    friend class http_responder;
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
