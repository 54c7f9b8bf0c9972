/// Defines the state of a call of the HTTP client that is in progress. Private to the HTTP client.
#ifndef CROCUSWIND_IO_HTTP_CALL_STATE_H
#define CROCUSWIND_IO_HTTP_CALL_STATE_H

#include "http_client.h"

#include <cstddef>
#include <optional>
#include <string>

namespace crocuswind {

struct http_connection;
struct http_connection_pool;

/// A call that has not been reported yet.
struct http_call_state
{
    http_call_id id = 0;
    http_call call;
    http_client::done_callback done;
    http_client::data_callback onData; ///< Set only for streams.
    duration receiveTimeout = duration::zero();
    http_connection_pool *waitingPool = nullptr; ///< In whose queue the call waits, or null.
    http_connection *assignedConnection = nullptr;
    timer_id timer = 0;
    bool bytesSent = false;
    bool headerArrived = false;
    std::size_t receivedBytes = 0;
    /// Set when the deadline has passed: number of bytes that arrived by then, including bytes
    /// that are still unread in the socket.
    std::optional<std::size_t> bytesInTime;
    std::string streamBody; ///< Body of a stream's response if its status is not 200.
};

} // namespace crocuswind

#endif
