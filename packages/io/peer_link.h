/// Defines one WebSocket connection to a peer together with its socket; private to the package. A
/// link is independent of the other links.
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

/// Callbacks of a link.
struct peer_link_callbacks
{
    std::function<void()> opened; ///< Frames can be sent.
    std::function<void(std::string_view frame)> frame; ///< A complete frame arrived.
    /// The link has closed itself. The owner must not destroy the link from within this callback.
    std::function<void()> closed;
};

/// A link to a peer. close() may be called at any time, but the link must not be destroyed from
/// within its callbacks.
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

    /// Connects to a peer. If the attempt fails immediately, returns false; the link is then closed
    /// without a call of `closed`.
    bool dial(const ip_endpoint &to);

    /// Cancels the handshake timeout and starts to send pings. Called once the peer's hello has
    /// been accepted.
    void completeHandshake();

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

    /// Returns the incarnation of the peer's process, which the peer sent in its handshake.
    const std::string &peerIncarnation() const { return m_peerIncarnation; }

    /// Returns when the last bytes of the peer arrived, or when the link was opened.
    instant lastReceived() const { return m_lastReceived; }

    /// Returns the number of bytes that have not been written to the socket yet.
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
    bool m_isLingering = false; ///< The session has finished; its remaining bytes are being sent.
    bufferevent *m_socket = nullptr; ///< Null once closed.
    std::unique_ptr<websocket_session> m_session;
    std::string m_peerIncarnation;
    instant m_lastReceived;
    timer_id m_closeTimer = 0;
    timer_id m_pingTimer = 0;
};

} // namespace crocuswind

#endif
