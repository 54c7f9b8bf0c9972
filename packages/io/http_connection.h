/// Defines one connection of the HTTP client, and what it learns from evhttp and from the socket
/// about the call that it carries. Private to the HTTP client.
#ifndef CROCUSWIND_IO_HTTP_CONNECTION_H
#define CROCUSWIND_IO_HTTP_CONNECTION_H

#include "http_call_state.h"
#include "http_client.h"
#include "http_connection_pool.h"

#include <event2/bufferevent.h>
#include <memory>

struct evhttp_connection;
struct evhttp_request;

namespace crocuswind {

/// Receives the events of connections.
class http_connection_events
{
public:
    virtual ~http_connection_events() = default;

    /// The current call has a response, whose body may be incomplete, or has failed: \p request is
    /// null or has no status then.
    virtual void onResponse(http_connection &c, evhttp_request *request) = 0;

    /// The next bytes of the current call's stream have arrived in the input buffer of \p request.
    virtual void onStreamBytes(http_connection &c, evhttp_request *request) = 0;

    /// The server has closed the connection while it carried no call.
    virtual void onIdleClosed(http_connection &c) = 0;
};

/// A connection, which carries one call at a time. It keeps its address as long as it lives, since
/// evhttp refers to it.
struct http_connection
{
    /// Creates a connection, which connects when its first call is sent. \p ownerPool is null for a
    /// stream. Returns null if the connection cannot be created.
    static std::unique_ptr<http_connection>
    create(event_loop &loop, const http_client_settings &settings, const ip_endpoint &to,
           http_connection_pool *ownerPool, http_connection_events &events);

    /// Takes ownership of \p evhttp.
    http_connection(evhttp_connection *evhttp, const ip_endpoint &endpoint,
                    http_connection_pool *pool, http_connection_events &e);

    /// Closes the connection without further events.
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Sends the current call. Returns false if evhttp rejects it. Calls
    /// http_connection_events::onResponse() from within if the connection is refused immediately.
    bool sendCurrentCall(instant now);

    /// Learns from the socket whether the connection is refused. evhttp does not report why a
    /// connection failed, and closes the socket before it reports the failure. Its callbacks are
    /// therefore replaced until the socket is connected. Not for TLS.
    void watchConnect();

    /// Returns whether bytes that arrived before the deadline of the call are still unread. After
    /// the thread was blocked, libevent needs several rounds to read them: each round polls a
    /// limited number of sockets and reads a limited amount from each.
    bool hasUnreadAnswer(http_call_state &state) const;

    /// Marks the connection as disposed, and shuts it down so that the server sees its end. It must
    /// not be destroyed before the next round, since evhttp may be using it further up the stack.
    void shutDown();

    bufferevent *socket() const;

    http_connection_events &events;
    http_connection_pool *ownerPool = nullptr; ///< Null for streams.
    evhttp_connection *evhttpConnection = nullptr;
    http_call_state *currentCall = nullptr;
    ip_endpoint to;
    bool isDisposed = false;
    bool isConfigured = false; ///< The socket is connected and has its options.
    bool isRefused = false;
    bufferevent_event_cb connectCallback = nullptr; ///< evhttp's callback while connecting.
    instant idleSince;
};

} // namespace crocuswind

#endif
