/// Defines the HTTP/1.1 client of a process: a bounded pool of connections for each endpoint.
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

/// Bounds of a client.
struct http_client_settings
{
    int maxConnectionsPerEndpoint = 8; ///< One request at a time travels on each.
    std::size_t maxQueuedPerEndpoint = 256; ///< Calls that wait for a connection.
    std::size_t maxHeaderBytes = 16 * 1024; ///< A longer header counts as `no_answer`.
    duration connectTimeout = 1s; ///< Time for a connection to be established.
    duration idleTimeout = 10s; ///< An idle connection is closed after this time.
    std::shared_ptr<tls_context> tls; ///< Plain HTTP if null.
};

/// One call.
struct http_call
{
    ip_endpoint to;
    std::string method = "POST"; ///< GET, HEAD, POST, PUT or DELETE.
    std::string path = "/"; ///< Path with query, already encoded.
    http_headers headers; ///< `Host`, unless given, and `content-length` are added.
    std::string body;
    instant deadline; ///< When the call ends without an answer.
    std::size_t maxAnswerBytes = 1024 * 1024; ///< A larger body counts as `no_answer`.
};

/// How a call ended.
enum class http_outcome {
    answered, ///< The whole answer arrived, by its content length or its last chunk.
    not_connected, ///< No byte was sent: no connection, no room in the queue, or a bad address.
    no_answer, ///< Bytes may have been sent; also for a truncated or oversized answer.
};

/// The result of a call. Status, headers and body are set only if it was answered.
struct http_result
{
    http_outcome outcome = http_outcome::no_answer;
    int status = 0;
    http_headers headers;
    std::string body;
    /// With `not_connected`: the connection was refused at once. A partition may refuse connections
    /// as well as a host on which nothing listens. Not told with TLS.
    bool isRefused = false;
};

/// Names a call in progress; 0 is never used.
using http_call_id = std::uint64_t;

/// A client. Callbacks come from the loop, never from within a call of this class, and must not
/// destroy the client.
class http_client
{
public:
    using done_callback = std::function<void(http_result result)>;
    using piece_callback = std::function<void(std::string_view bytes)>;

    http_client(event_loop &loop, http_client_settings settings);

    /// Closes all connections; callbacks of calls in progress are not called.
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends a call, over an idle connection of the endpoint if there is one, else over a new one,
    /// else after waiting in the endpoint's queue. \p done is called exactly once, at the deadline
    /// at the latest, unless the call is cancelled.
    http_call_id send(http_call call, done_callback done);

    /// Sends a call whose answer has no end, over a connection of its own beside the pool. \p piece
    /// receives the body's bytes as they arrive if the status is 200. \p done is called once when
    /// the answer has ended, with the body that came with another status. `deadline` bounds the
    /// time until the answer's header has arrived, and `receiveTimeout` the time without a byte
    /// after that.
    http_call_id stream(http_call call, duration receiveTimeout, piece_callback piece,
                        done_callback done);

    /// Gives up a call; its connection is closed if the call is under way. The callbacks are not
    /// called any more. Has no effect on a call that has ended.
    void cancel(http_call_id call);

    /// Changes the limit of connections to one endpoint; the default is that of the settings. Idle
    /// connections above the limit are closed, busy ones when their call has ended.
    void setConnectionLimit(const ip_endpoint &endpoint, int limit);

    /// Closes idle connections to all endpoints. Endpoints without calls and without a limit of
    /// their own are forgotten.
    void closeIdle();

    /// Returns the number of connections to \p endpoint, idle ones included, streams excluded.
    int connections(const ip_endpoint &endpoint) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
