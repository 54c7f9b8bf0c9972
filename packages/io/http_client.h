/// Defines the HTTP/1.1 client of a process, which keeps a bounded connection pool for each
/// endpoint.
#ifndef CROCUSWIND_IO_HTTP_CLIENT_H
#define CROCUSWIND_IO_HTTP_CLIENT_H

#include "endpoint.h"
#include "event_loop.h"
#include "http_message.h"
#include "tls_context.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocuswind {

/// Limits and timeouts of a client.
struct http_client_settings
{
    int maxConnectionsPerEndpoint = 8; ///< Each carries one request at a time.
    std::size_t maxQueuedPerEndpoint = 256; ///< Calls that wait for a connection.
    std::size_t maxHeaderBytes = 16 * 1024; ///< A longer header counts as `no_answer`.
    duration connectTimeout = 1s; ///< Time allowed for establishing a connection.
    duration idleTimeout = 10s; ///< An idle connection is closed after this time.
    std::shared_ptr<tls_context> tls; ///< Plain HTTP if null.
};

/// One request to an endpoint, with its deadline.
struct http_call
{
    ip_endpoint to;
    std::string method = "POST"; ///< GET, HEAD, POST, PUT or DELETE.
    std::string path = "/"; ///< Path with query, already encoded.
    http_headers headers; ///< `Host`, unless given, and `content-length` are added.
    std::string body;
    instant deadline; ///< Time at which the call fails if no response has arrived.
    std::size_t maxAnswerBytes = 1024 * 1024; ///< A larger body counts as `no_answer`.
};

/// How a call ended.
enum class http_outcome {
    answered, ///< The complete response arrived, up to its content length or its last chunk.
    not_connected, ///< No byte was sent: no connection, a full queue, or an invalid address.
    no_answer, ///< Bytes may have been sent; also for a truncated or oversized response.
};

/// The result of a call. Status, headers and body are set only if it was answered.
struct http_result
{
    http_outcome outcome = http_outcome::no_answer;
    int status = 0;
    http_headers headers;
    std::string body;
    /// With `not_connected`: the connection was refused (ECONNREFUSED). This does not prove that
    /// nothing listens on the host, since a network partition may also refuse connections. Never
    /// set with TLS.
    bool isRefused = false;
};

/// Identifies a call in progress; 0 is never used.
using http_call_id = std::uint64_t;

/// An HTTP client. Callbacks are called from the loop, never from within a call of this class, and
/// must not destroy the client.
class http_client
{
public:
    using done_callback = std::function<void(http_result result)>;
    using data_callback = std::function<void(std::string_view bytes)>;

    http_client(event_loop &loop, http_client_settings settings);

    /// Closes all connections. The callbacks of calls in progress are not called.
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends a call over an idle connection to the endpoint or over a new one. If the endpoint's
    /// connection limit is reached, the call waits in the endpoint's queue. \p done is called
    /// exactly once, at the deadline at the latest, unless the call is cancelled.
    http_call_id send(http_call call, done_callback done);

    /// Sends a call with an unbounded response, over a dedicated connection outside the pool. If
    /// the status is 200, \p onData receives the bytes of the body as they arrive. \p done is
    /// called once when the response has ended; its result holds the body only if the status is not
    /// 200. `deadline` bounds the time until the header of the response has arrived, and \p
    /// receiveTimeout the time without a received byte after that.
    http_call_id stream(http_call call, duration receiveTimeout, data_callback onData,
                        done_callback done);

    /// Cancels a call. If the call has been assigned to a connection, that connection is closed.
    /// The callbacks are not called after this. Has no effect on a call that has ended.
    void cancel(http_call_id call);

    /// Changes the connection limit of one endpoint; the default comes from the settings. Idle
    /// connections above the limit are closed at once, busy connections when their call has ended.
    void setConnectionLimit(const ip_endpoint &endpoint, int limit);

    /// Closes idle connections to all endpoints. Removes the state of endpoints that have no calls
    /// and still have the default connection limit.
    void closeIdle();

    /// Returns the number of connections to \p endpoint, idle ones included, streams excluded.
    int connections(const ip_endpoint &endpoint) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
