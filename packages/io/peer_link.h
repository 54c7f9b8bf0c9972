/// Defines one WebSocket connection to a peer on its socket; private to the package. It knows
/// nothing of the other links.
#ifndef CROCUSWIND_IO_PEER_LINK_H
#define CROCUSWIND_IO_PEER_LINK_H

#include "peer_links.h"
#include "websocket_session.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace crocuswind {

/// What a link tells its owner.
struct peer_link_callbacks
{
    std::function<void()> opened; ///< Frames can be sent.
    std::function<void(std::string_view frame)> frame; ///< A whole frame arrived.
    std::function<void()>
        closed; ///< The link has closed itself. The owner must not destroy it now.
};

/// One connection. close() may be called at any time; the link must not be destroyed from within
/// its callbacks.
class peer_link
{
public:
    /// \p settings and \p factory must outlive the link.
    peer_link(event_loop &loop, const peer_links_settings &settings, websocket_factory &factory,
              peer_link_callbacks callbacks);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Takes over an accepted socket.
    void accept(int socket);

    /// Dials. Returns false if the attempt failed at once; the link is closed then, without a call.
    bool dial(const ip_endpoint &to);

    /// Ends the limit on the handshake and begins to send pings.
    void confirm();

    /// Sends one frame. Returns whether the link was open.
    bool send(std::string_view frame);

    /// Closes the link after \p delay, with a call of `closed`.
    void closeAfter(duration delay);

    /// Closes the link at once, without a call of `closed`.
    void close();

    /// Returns whether the link was dialled by this host.
    bool isDialled() const { return m_isDialled; }

    /// Returns whether the link has been closed.
    bool isClosed() const { return m_socket == nullptr; }

    /// Returns the life of the peer's process, as sent in its handshake.
    const std::string &peerLife() const { return m_peerLife; }

    /// Returns the number of bytes that wait for the socket.
    std::size_t queuedBytes() const;

private:
    static void onRead(bufferevent *socket, void *self);
    static void onWritten(bufferevent *socket, void *self);
    static void onEvent(bufferevent *socket, short what, void *self);

    websocket_callbacks sessionCallbacks();
    void useSocket(bufferevent *socket);
    void beginHandshake();
    void write(std::string_view bytes);
    void read();
    void linger();
    void schedulePing();
    void fail();

    event_loop &m_loop;
    const peer_links_settings &m_settings;
    websocket_factory &m_factory;
    peer_link_callbacks m_callbacks;
    bool m_isDialled = false;
    bool m_isLingering = false; ///< The session is finished; what it wrote last is being sent.
    bufferevent *m_socket = nullptr; ///< Null once closed.
    std::unique_ptr<websocket_session> m_session;
    std::string m_peerLife;
    instant m_lastReceived;
    timer_id m_limit = 0;
    timer_id m_pinger = 0;
};

} // namespace crocuswind

#endif
