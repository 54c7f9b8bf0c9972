/// Defines the connections of the HTTP client to one endpoint, and the calls that wait for one of
/// them. Private to the HTTP client.
#ifndef CROCUSWIND_IO_HTTP_CONNECTION_POOL_H
#define CROCUSWIND_IO_HTTP_CONNECTION_POOL_H

#include "http_client.h"

#include <deque>
#include <list>

namespace crocuswind {

struct http_connection;

/// The connections to one endpoint, without those of streams.
struct http_connection_pool
{
    int limit = 0; ///< Maximum number of connections.
    std::list<http_connection *> connections;
    std::deque<http_call_id> queue; ///< Calls that wait for a connection, first come first served.

    bool isFull() const { return int(connections.size()) >= limit; }
    bool isAboveLimit() const { return int(connections.size()) > limit; }
};

} // namespace crocuswind

#endif
