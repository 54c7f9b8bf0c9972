/// Defines the WebSocket protocol of one connection, independent of the socket; private to the
/// package. Only the .cpp file includes websocketpp, which is slow to compile.
#ifndef CROCUSWIND_IO_WEBSOCKET_SESSION_H
#define CROCUSWIND_IO_WEBSOCKET_SESSION_H

#include "endpoint.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocuswind {

/// Callbacks of a session. They are called from within start(), receive(), send() and ping().
struct websocket_callbacks
{
    std::function<void(std::string_view bytes)> write; ///< Bytes to write to the socket.
    std::function<void()> opened; ///< The handshake has succeeded.
    std::function<void(std::string_view frame)> message; ///< A complete binary message arrived.
};

/// One end of a WebSocket connection.
class websocket_session
{
public:
    virtual ~websocket_session() = default;

    /// Begins the handshake. The socket must be connected.
    virtual void start() = 0;

    /// Processes bytes that were read from the socket.
    virtual void receive(std::string_view bytes) = 0;

    /// Sends one binary message. Returns whether the connection was open.
    virtual bool send(std::string_view frame) = 0;

    /// Sends a ping. The pong is not reported; the owner only sees that bytes arrived.
    virtual void ping() = 0;

    /// Returns whether the handshake has failed or the connection is closing or closed. Bytes that
    /// were passed to `write` before, such as a close frame, may still be sent.
    virtual bool isFinished() const = 0;

    /// Returns the peer's incarnation: the value of x-crocuswind-life in the peer's handshake.
    virtual std::string peerIncarnation() const = 0;

    /// Ends the session without a closing handshake. Must be called before the session is
    /// destroyed, but not from within a callback of the session.
    virtual void terminate() = 0;
};

/// Creates sessions, which must not outlive the factory.
class websocket_factory
{
public:
    /// \p incarnation identifies the incarnation of this process and is sent in each handshake. A
    /// message larger than \p maxMessageBytes ends its session.
    websocket_factory(std::string incarnation, std::size_t maxMessageBytes);
    ~websocket_factory();
    websocket_factory(const websocket_factory &) = delete;
    websocket_factory &operator=(const websocket_factory &) = delete;

    /// Creates the server side of a connection, which accepts only the path `/v1/peer`.
    std::unique_ptr<websocket_session> newServerSession(websocket_callbacks callbacks);

    /// Creates the client side of a connection.
    std::unique_ptr<websocket_session> newClientSession(const ip_endpoint &to, bool isTls,
                                                        websocket_callbacks callbacks);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
