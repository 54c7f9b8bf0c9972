/// Defines the WebSocket protocol of one connection without its socket; private to the package.
/// Only its .cpp includes websocketpp, which compiles slowly.
#ifndef CROCUSWIND_IO_WEBSOCKET_SESSION_H
#define CROCUSWIND_IO_WEBSOCKET_SESSION_H

#include "endpoint.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocuswind {

/// What a session asks of its owner. Calls come from within start(), receive(), send() and ping().
struct websocket_callbacks
{
    std::function<void(std::string_view bytes)> write; ///< Bytes for the socket.
    std::function<void()> opened; ///< The handshake is done.
    std::function<void(std::string_view frame)> message; ///< A whole binary message.
};

/// One end of a WebSocket connection.
class websocket_session
{
public:
    virtual ~websocket_session() = default;

    /// Begins the handshake. The socket must be connected.
    virtual void start() = 0;

    /// Takes in bytes from the socket.
    virtual void receive(std::string_view bytes) = 0;

    /// Sends one binary message. Returns whether the connection was open.
    virtual bool send(std::string_view frame) = 0;

    /// Sends a ping; the answer shows only as bytes received.
    virtual void ping() = 0;

    /// Returns whether the handshake has failed or the connection is closing or closed. Bytes
    /// written before, such as a close frame, may still be sent.
    virtual bool isFinished() const = 0;

    /// Returns the value of x-crocuswind-life that the other end sent in its handshake.
    virtual std::string peerLife() const = 0;

    /// Ends the session without a closing handshake. Must be called before the session is
    /// destroyed, and not from within its callbacks.
    virtual void abandon() = 0;
};

/// Creates sessions, which must not outlive it.
class websocket_factory
{
public:
    /// \p life identifies the life of this process and is sent in each handshake. A message larger
    /// than \p maxMessageBytes ends its session.
    websocket_factory(std::string life, std::size_t maxMessageBytes);
    ~websocket_factory();
    websocket_factory(const websocket_factory &) = delete;
    websocket_factory &operator=(const websocket_factory &) = delete;

    /// Creates the accepting end, which serves only the path `/v1/peer`.
    std::unique_ptr<websocket_session> newServerSession(websocket_callbacks callbacks);

    /// Creates the dialling end.
    std::unique_ptr<websocket_session> newClientSession(const ip_endpoint &to, bool isTls,
                                                        websocket_callbacks callbacks);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
