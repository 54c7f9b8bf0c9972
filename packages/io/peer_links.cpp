#include "peer_links.h"

#include "logger.h"
#include "peer_link.h"
#include "socket_address.h"
#include "websocket_session.h"

#include <algorithm>
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <map>
#include <unordered_map>
#include <utility>

namespace crocuswind {

namespace {

// After a simultaneous dial, the link that is not kept is still read for this long, since the peer
// may have sent frames on it before it accepted the other link.
constexpr duration retireDelay = 1s;

// Pause after accepting failed. Accepting fails when the process has no file descriptor left, and
// would fail again immediately.
constexpr duration acceptPause = 100ms;

} // namespace

struct peer_links::implementation
{
    using link_id = std::uint64_t;

    struct link_state
    {
        std::unique_ptr<peer_link> connection;
        host_id expected; ///< Name of the peer that was dialled.
        host_id peer; ///< Name from the peer's hello; empty until the hello arrives.
    };

    struct peer_state
    {
        std::optional<ip_endpoint> dialTo; ///< Empty if this host must not dial the peer.
        link_id currentLink = 0; ///< Link in use, or 0.
        link_id dialledLink = 0; ///< Link being dialled, or 0.
        timer_id retryTimer = 0;
        duration retryDelay = duration::zero(); ///< Last delay before dialling again.
    };

    implementation(event_loop &l, peer_links_settings s, peer_hello_codec &h, random_source &r,
                   peer_links_callbacks c)
        : loop(l)
        , settings(std::move(s))
        , hello(h)
        , random(r)
        , callbacks(std::move(c))
        , factory(fmt::format("{:016x}", random.next()), settings.maxFrameBytes)
    { }

    ~implementation() { close(); }

    void close()
    {
        loop.cancel(acceptTimer);
        if (listener != nullptr)
            evconnlistener_free(std::exchange(listener, nullptr));
        for (auto &[name, peer] : peers)
            loop.cancel(peer.retryTimer);
        peers.clear();
        for (auto &[id, link] : links)
            release(id, link);
    }

    tl::expected<ip_endpoint, std::string> listen(const ip_endpoint &where)
    {
        CROCUSWIND_INVARIANT(listener == nullptr, "the peer links listen already");
        const auto bound = bindListener(loop.base(), where);
        if (!bound)
            return tl::unexpected(bound.error());
        listener = bound->listener;
        evconnlistener_set_error_cb(listener, [](evconnlistener *, void *self) {
            static_cast<implementation *>(self)->pauseAccepting();
        });
        evconnlistener_set_cb(
            listener,
            [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
                static_cast<implementation *>(self)->accept(socket);
            },
            this);
        return bound->endpoint;
    }

    void pauseAccepting()
    {
        evconnlistener_disable(listener);
        acceptTimer
            = loop.callAt(loop.now() + acceptPause, [this] { evconnlistener_enable(listener); });
    }

    void accept(evutil_socket_t socket)
    {
        const auto accepted = std::count_if(links.begin(), links.end(), [](const auto &entry) {
            return !entry.second.connection->isDialled() && !entry.second.connection->isClosed();
        });
        if (std::size_t(accepted) >= settings.maxAcceptedLinks)
            evutil_closesocket(socket);
        else
            links.at(addLink()).connection->accept(socket);
    }

    void dial(const host_id &name)
    {
        peer_state &peer = peers.at(name);
        if (!peer.dialTo || peer.currentLink != 0 || peer.dialledLink != 0)
            return;
        const link_id id = addLink();
        link_state &link = links.at(id);
        link.expected = name;
        if (link.connection->dial(*peer.dialTo)) {
            peer.dialledLink = id;
            return;
        }
        release(id, link);
        scheduleDial(name, peer);
    }

    void scheduleDial(const host_id &name, peer_state &peer)
    {
        const bool isBusy = peer.currentLink != 0 || peer.dialledLink != 0 || peer.retryTimer != 0;
        if (!peer.dialTo || isBusy)
            return;
        peer.retryDelay
            = std::clamp(peer.retryDelay * 2, settings.minRetryDelay, settings.maxRetryDelay);
        const auto jittered = duration(
            std::int64_t(double(peer.retryDelay.count()) * (0.5 + random.fraction() / 2)));
        peer.retryTimer = loop.callAt(loop.now() + jittered, [this, name] {
            peers.at(name).retryTimer = 0;
            dial(name);
        });
    }

    link_id addLink()
    {
        const link_id id = ++lastLink;
        peer_link_callbacks c;
        c.opened = [this, id] { links.at(id).connection->send(hello.helloFrame()); };
        c.frame = [this, id](std::string_view frame) { handleFrame(id, frame); };
        c.closed = [this, id] { onClosed(id); };
        links[id].connection = std::make_unique<peer_link>(loop, settings, factory, std::move(c));
        return id;
    }

    void handleFrame(link_id id, std::string_view frame)
    {
        link_state &link = links.at(id);
        if (!link.peer.empty()) {
            if (isUp(link.peer)) {
                const host_id from = link.peer;
                callbacks.message(from, frame);
            }
            return;
        }
        const auto name = hello.parseHello(frame);
        const bool isExpected = name && (!link.connection->isDialled() || *name == link.expected);
        if (!isExpected || name->empty() || *name == settings.self) {
            log.warning("closing a link: {}",
                        name ? fmt::format("unexpected peer name '{}'", name->value)
                             : std::string("the first frame is not a hello"));
            link.connection->closeAfter(duration::zero());
            return;
        }
        link.peer = *name;
        activateLink(id, link);
    }

    // Returns whether `candidate` replaces `former`. Both hosts make the same choice, since it
    // depends only on their names and on which of them dialled.
    bool isPreferred(const link_state &candidate, const link_state &former) const
    {
        if (!isSimultaneous(candidate, former))
            return true; // The peer has restarted or has closed the older link.
        const bool isSelfSmaller = settings.self < candidate.peer;
        return candidate.connection->isDialled() == isSelfSmaller;
    }

    static bool isSimultaneous(const link_state &a, const link_state &b)
    {
        return a.connection->peerIncarnation() == b.connection->peerIncarnation()
            && a.connection->isDialled() != b.connection->isDialled();
    }

    void activateLink(link_id id, link_state &link)
    {
        const host_id name = link.peer;
        peer_state &peer = peers[name];
        if (peer.dialledLink == id)
            peer.dialledLink = 0;
        peer.retryDelay = duration::zero();
        loop.cancel(std::exchange(peer.retryTimer, 0));
        link.connection->completeHandshake();
        if (peer.currentLink == 0) {
            peer.currentLink = id;
            callbacks.up(name);
            return;
        }
        link_state &former = links.at(peer.currentLink);
        if (!isPreferred(link, former)) {
            link.connection->closeAfter(retireDelay);
            return;
        }
        const link_id formerId = std::exchange(peer.currentLink, id);
        if (isSimultaneous(link, former)) {
            former.connection->closeAfter(retireDelay);
            return;
        }
        release(formerId, former);
        callbacks.down(name);
        if (isUp(name)) // False if the callback has closed all links.
            callbacks.up(name);
    }

    // Closes a link. It is destroyed in the next round, since one of its functions may be further
    // up the stack.
    void release(link_id id, link_state &link)
    {
        link.connection->close();
        loop.post([this, id, alive = std::weak_ptr<int>(lifetimeToken)] {
            if (!alive.expired())
                links.erase(id);
        });
    }

    void onClosed(link_id id)
    {
        link_state &link = links.at(id);
        const host_id name = link.peer.empty() ? link.expected : link.peer;
        release(id, link);
        const auto known = peers.find(name);
        if (known == peers.end())
            return;
        peer_state &peer = known->second;
        if (peer.dialledLink == id)
            peer.dialledLink = 0;
        const bool wasCurrent = peer.currentLink == id;
        if (wasCurrent)
            peer.currentLink = 0;
        scheduleDial(name, peer);
        if (!peer.dialTo && peer.currentLink == 0 && peer.dialledLink == 0)
            peers.erase(known);
        if (wasCurrent)
            callbacks.down(name);
    }

    void setPeers(const std::vector<peer_address> &wanted)
    {
        for (auto &[name, peer] : peers)
            peer.dialTo.reset();
        for (const peer_address &address : wanted) {
            if (address.name != settings.self)
                peers[address.name].dialTo = address.endpoint;
        }
        for (auto i = peers.begin(); i != peers.end();) {
            peer_state &peer = i->second;
            if (!peer.dialTo)
                loop.cancel(std::exchange(peer.retryTimer, 0));
            else if (peer.retryTimer == 0)
                dial(i->first);
            const bool isUnused = !peer.dialTo && peer.currentLink == 0 && peer.dialledLink == 0;
            i = isUnused ? peers.erase(i) : std::next(i);
        }
    }

    peer_send_result send(const host_id &name, std::string_view frame)
    {
        if (frame.size() > settings.maxFrameBytes)
            return peer_send_result::too_large;
        if (!isUp(name))
            return peer_send_result::no_link;
        peer_link &connection = *links.at(peers.at(name).currentLink).connection;
        if (connection.queuedBytes() + frame.size() > settings.maxQueuedBytes) {
            ++dropped;
            return peer_send_result::full;
        }
        return connection.send(frame) ? peer_send_result::queued : peer_send_result::no_link;
    }

    bool isUp(const host_id &name) const
    {
        const auto found = peers.find(name);
        return found != peers.end() && found->second.currentLink != 0;
    }

    event_loop &loop;
    peer_links_settings settings;
    peer_hello_codec &hello;
    random_source &random;
    peer_links_callbacks callbacks;
    logger log{"peer links"};
    websocket_factory factory;
    evconnlistener *listener = nullptr;
    timer_id acceptTimer = 0;
    link_id lastLink = 0;
    std::unordered_map<link_id, link_state> links;
    std::map<host_id, peer_state> peers;
    std::uint64_t dropped = 0;
    std::shared_ptr<int> lifetimeToken = std::make_shared<int>(0); ///< Destroyed with the links.
};

peer_links::peer_links(event_loop &loop, peer_links_settings settings, peer_hello_codec &hello,
                       random_source &random, peer_links_callbacks callbacks)
    : m_implementation(std::make_unique<implementation>(loop, std::move(settings), hello, random,
                                                        std::move(callbacks)))
{ }

peer_links::~peer_links() = default;

tl::expected<ip_endpoint, std::string> peer_links::listen(const ip_endpoint &where)
{
    return m_implementation->listen(where);
}

void peer_links::setPeers(const std::vector<peer_address> &peers)
{
    m_implementation->setPeers(peers);
}

peer_send_result peer_links::send(const host_id &peer, std::string_view frame)
{
    return m_implementation->send(peer, frame);
}

std::optional<instant> peer_links::lastReceived(const host_id &peer) const
{
    const implementation &i = *m_implementation;
    if (!i.isUp(peer))
        return std::nullopt;
    return i.links.at(i.peers.at(peer).currentLink).connection->lastReceived();
}

bool peer_links::isUp(const host_id &peer) const
{
    return m_implementation->isUp(peer);
}

std::vector<host_id> peer_links::peersUp() const
{
    std::vector<host_id> up;
    for (const auto &[name, peer] : m_implementation->peers) {
        if (peer.currentLink != 0)
            up.push_back(name);
    }
    return up;
}

std::uint64_t peer_links::droppedFrames() const
{
    return m_implementation->dropped;
}

void peer_links::close()
{
    m_implementation->close();
}

} // namespace crocuswind
