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

/// Encodes and decodes the hello: the first frame of each link, which contains the sender's name.
class peer_hello_codec
{
public:
    virtual ~peer_hello_codec() = default;

    /// Returns the hello that this host sends as the first frame of each link.
    virtual std::string helloFrame() = 0;

    /// Returns the sender's name from the first frame of a link. Returns nothing if the frame is
    /// not a hello that this host accepts; the link is then closed.
    virtual std::optional<host_id> parseHello(std::string_view frame) = 0;
};

/// A peer to which this host connects.
struct peer_address
{
    host_id name;
    ip_endpoint endpoint;
};

/// Limits and timeouts of the links.
struct peer_links_settings
{
    host_id self; ///< Name of this host.
    std::size_t maxFrameBytes = 1024 * 1024; ///< A larger frame closes the link.
    std::size_t maxQueuedBytes = 8 * 1024 * 1024; ///< Unsent output of one link.
    std::size_t maxAcceptedLinks = 256; ///< Further connections are closed on arrival.
    duration handshakeTimeout = 3s; ///< From connecting until the peer's hello arrives.
    duration pingInterval = 5s; ///< A ping is sent on each link this often.
    duration receiveTimeout = 15s; ///< A link that receives no byte for this long is closed.
    duration minRetryDelay = 100ms; ///< Initial delay before a connection is retried.
    duration maxRetryDelay = 5s; ///< The delay doubles up to this bound; jitter removes up to half.
    std::shared_ptr<tls_context> tls; ///< Plain connections if null.
};

/// Callbacks of the links. They are called from the loop, never from within a call of peer_links,
/// and must not destroy it.
struct peer_links_callbacks
{
    std::function<void(const host_id &peer)> up; ///< A link to the peer has become usable.
    std::function<void(const host_id &peer)> down; ///< The last usable link to the peer was closed.
    std::function<void(const host_id &peer, std::string_view frame)> message;
};

/// The result of sending a frame.
enum class peer_send_result {
    queued, ///< The frame was passed to the link. It is lost if the link breaks.
    no_link, ///< Nothing was sent: there is no usable link to the peer.
    full, ///< Nothing was sent: the link's output queue is full.
    too_large, ///< Nothing was sent: the frame exceeds the maximum frame size.
};

/// Keeps at most one link in use for each pair of hosts. Either host may dial the other. If both
/// dial at the same time, both keep the link that was dialled by the host with the smaller name;
/// they read the other link for one more second and then close it, which is not reported as down.
/// If the peer's process has restarted or has dialled again, the newer link replaces the older one.
/// The replacement is reported as down and up, since frames may have been lost.
class peer_links
{
public:
    /// \p hello and \p random must outlive the links; \p random jitters the retry delays.
    peer_links(event_loop &loop, peer_links_settings settings, peer_hello_codec &hello,
               random_source &random, peer_links_callbacks callbacks);
    ~peer_links();
    peer_links(const peer_links &) = delete;
    peer_links &operator=(const peer_links &) = delete;

    /// Listens on \p where; port 0 selects any free port. Returns the actual endpoint or an error
    /// message.
    tl::expected<ip_endpoint, std::string> listen(const ip_endpoint &where);

    /// Replaces the set of peers to which this host keeps a link. A link to a peer that is no
    /// longer in the set stays open until it breaks. If the address of a peer has changed, the new
    /// address is dialled only after the current link breaks.
    void setPeers(const std::vector<peer_address> &peers);

    /// Sends one binary frame.
    peer_send_result send(const host_id &peer, std::string_view frame);

    /// Returns whether a link to the peer is usable.
    bool isUp(const host_id &peer) const;

    /// Returns when the last bytes of the peer arrived; nothing without a usable link.
    std::optional<instant> lastReceived(const host_id &peer) const;

    /// Returns the peers with a usable link, sorted by name.
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
