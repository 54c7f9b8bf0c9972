/// Defines the links between entry hosts: WebSocket connections that carry binary frames.
#ifndef CROCUSWIND_IO_PEER_LINKS_H
#define CROCUSWIND_IO_PEER_LINKS_H

#include "endpoint.h"
#include "event_loop.h"
#include "tls_context.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

/// Writes and reads the first frame of each link, by which the two ends learn each other's name.
class peer_hello_codec
{
public:
    virtual ~peer_hello_codec() = default;

    /// Returns the frame that this host sends first on each link.
    virtual std::string helloFrame() = 0;

    /// Returns the sender's name from its first frame, or nothing if the frame is not a hello that
    /// this host accepts; the link is then closed.
    virtual std::optional<host_id> parseHello(std::string_view frame) = 0;
};

/// A peer to dial.
struct peer_address
{
    host_id name;
    ip_endpoint endpoint;
};

/// Bounds of the links.
struct peer_links_settings
{
    host_id self; ///< Name of this host.
    std::size_t maxFrameBytes = 1024 * 1024; ///< A larger frame closes the link.
    std::size_t maxQueuedBytes = 8 * 1024 * 1024; ///< Output that a link may hold back.
    std::size_t maxAcceptedLinks = 256; ///< Further connections are closed on arrival.
    duration handshakeTimeout = 3s; ///< From connecting until the peer's hello.
    duration pingInterval = 5s; ///< A ping is sent on each link this often.
    duration receiveTimeout = 15s; ///< A link without a byte from the peer for this long is closed.
    duration minRetryDelay = 100ms; ///< First delay before a peer is dialled again.
    duration maxRetryDelay = 5s; ///< The delay doubles up to this bound, jittered by half.
    std::shared_ptr<tls_context> tls; ///< Plain connections if null.
};

/// What the owner of the links is told. Calls come from the loop, never from within a call of
/// peer_links, and must not destroy it.
struct peer_links_callbacks
{
    std::function<void(const host_id &peer)> up; ///< A link to the peer is usable.
    std::function<void(const host_id &peer)> down; ///< No link to the peer is usable any more.
    std::function<void(const host_id &peer, std::string_view frame)> message;
};

/// What became of a frame to send.
enum class peer_send_result {
    queued, ///< Handed to the link. It may still be lost with the link.
    no_link, ///< Nothing was sent: there is no link to the peer.
    full, ///< Nothing was sent: the link's output queue is full.
    too_large, ///< Nothing was sent: the frame exceeds the bound.
};

/// Keeps at most one link in use for each pair of hosts. Both ends may dial. If each has dialled
/// the other, both keep the link that the host with the smaller name dialled; the other is read for
/// one more second, closed, and not reported as down. If the peer's process has restarted or has
/// dialled again, its newer link replaces the older one, which is reported as down and up, since
/// frames may have been lost.
class peer_links
{
public:
    /// \p hello and \p random must outlive the links; \p random jitters the delays.
    peer_links(event_loop &loop, peer_links_settings settings, peer_hello_codec &hello,
               random_source &random, peer_links_callbacks callbacks);
    ~peer_links();
    peer_links(const peer_links &) = delete;
    peer_links &operator=(const peer_links &) = delete;

    /// Listens on \p where; port 0 takes any free port. Returns the endpoint in use or a message.
    tl::expected<ip_endpoint, std::string> listen(const ip_endpoint &where);

    /// Replaces the set of peers that this host dials and keeps dialling. Links to peers no longer
    /// in the set stay until they break; links to peers with a changed address are dialled anew
    /// only after they break.
    void setPeers(const std::vector<peer_address> &peers);

    /// Sends one binary frame.
    peer_send_result send(const host_id &peer, std::string_view frame);

    /// Returns whether a link to the peer is usable.
    bool isUp(const host_id &peer) const;

    /// Returns the peers with a usable link, in the order of their names.
    std::vector<host_id> peersUp() const;

    /// Returns the number of frames that were not sent because the queue was full.
    std::uint64_t droppedFrames() const;

    /// Closes all links and stops listening and dialling. Peers are not reported as down.
    void close();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace crocuswind

#endif
