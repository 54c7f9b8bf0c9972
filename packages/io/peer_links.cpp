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

// A link that is not chosen is still read for this long, since the peer may have sent on it before
// it saw the other one.
constexpr duration retireLimit = 1s;

// Accepting fails when the process has no descriptor left, and would fail again at once.
constexpr duration acceptRestLimit = 100ms;

} // namespace

struct peer_links::implementation
{
    using link_id = std::uint64_t;

    struct link_state
    {
        std::unique_ptr<peer_link> wire;
        host_id expected; ///< Name of the peer that was dialled.
        host_id peer; ///< Name from the hello; empty before.
    };

    struct peer_state
    {
        std::optional<ip_endpoint> dialTo;
        link_id current = 0; ///< Link in use, or 0.
        link_id dialled = 0; ///< Link being dialled, or 0.
        timer_id retry = 0;
        duration delay = duration::zero();
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
            loop.cancel(peer.retry);
        peers.clear();
        for (auto &[id, l] : links)
            release(id, l);
    }

    tl::expected<ip_endpoint, std::string> listen(const ip_endpoint &where)
    {
        CROCUSWIND_INVARIANT(listener == nullptr, "the peer links listen already");
        const auto bound = bindListener(loop.base(), where);
        if (!bound)
            return tl::unexpected(bound.error());
        listener = bound->listener;
        evconnlistener_set_error_cb(listener, [](evconnlistener *, void *self) {
            static_cast<implementation *>(self)->restAccepting();
        });
        evconnlistener_set_cb(
            listener,
            [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
                static_cast<implementation *>(self)->accept(socket);
            },
            this);
        return bound->endpoint;
    }

    void restAccepting()
    {
        evconnlistener_disable(listener);
        acceptTimer = loop.callAt(loop.now() + acceptRestLimit,
                                  [this] { evconnlistener_enable(listener); });
    }

    void accept(evutil_socket_t socket)
    {
        const auto accepted = std::count_if(links.begin(), links.end(), [](const auto &entry) {
            return !entry.second.wire->isDialled() && !entry.second.wire->isClosed();
        });
        if (std::size_t(accepted) >= settings.maxAcceptedLinks)
            evutil_closesocket(socket);
        else
            links.at(addLink()).wire->accept(socket);
    }

    void dial(const host_id &name)
    {
        peer_state &peer = peers.at(name);
        if (!peer.dialTo || peer.current != 0 || peer.dialled != 0)
            return;
        const link_id id = addLink();
        link_state &l = links.at(id);
        l.expected = name;
        if (l.wire->dial(*peer.dialTo)) {
            peer.dialled = id;
            return;
        }
        release(id, l);
        scheduleDial(name, peer);
    }

    void scheduleDial(const host_id &name, peer_state &peer)
    {
        const bool isBusy = peer.current != 0 || peer.dialled != 0 || peer.retry != 0;
        if (!peer.dialTo || isBusy)
            return;
        peer.delay = std::clamp(peer.delay * 2, settings.minRetryDelay, settings.maxRetryDelay);
        const auto jittered
            = duration(std::int64_t(double(peer.delay.count()) * (0.5 + random.fraction() / 2)));
        peer.retry = loop.callAt(loop.now() + jittered, [this, name] {
            peers.at(name).retry = 0;
            dial(name);
        });
    }

    link_id addLink()
    {
        const link_id id = ++lastLink;
        peer_link_callbacks c;
        c.opened = [this, id] { links.at(id).wire->send(hello.helloFrame()); };
        c.frame = [this, id](std::string_view frame) { takeFrame(id, frame); };
        c.closed = [this, id] { onClosed(id); };
        links[id].wire = std::make_unique<peer_link>(loop, settings, factory, std::move(c));
        return id;
    }

    void takeFrame(link_id id, std::string_view frame)
    {
        link_state &l = links.at(id);
        if (!l.peer.empty()) {
            if (isUp(l.peer)) {
                const host_id from = l.peer;
                callbacks.message(from, frame);
            }
            return;
        }
        const auto name = hello.parseHello(frame);
        const bool isExpected = name && (!l.wire->isDialled() || *name == l.expected);
        if (!isExpected || name->empty() || *name == settings.self) {
            log.warning("closed a link: {}",
                        name ? fmt::format("the peer calls itself '{}'", name->value)
                             : std::string("the first frame is not a hello"));
            l.wire->closeAfter(duration::zero());
            return;
        }
        l.peer = *name;
        bringUp(id, l);
    }

    // Both ends come to the same choice, from the names and from who dialled.
    bool isPreferred(const link_state &candidate, const link_state &current) const
    {
        if (!isSimultaneous(candidate, current))
            return true; // The peer has restarted or has given up the older link.
        const bool isSelfSmaller = settings.self < candidate.peer;
        return candidate.wire->isDialled() == isSelfSmaller;
    }

    static bool isSimultaneous(const link_state &a, const link_state &b)
    {
        return a.wire->peerLife() == b.wire->peerLife()
            && a.wire->isDialled() != b.wire->isDialled();
    }

    void bringUp(link_id id, link_state &l)
    {
        const host_id name = l.peer;
        peer_state &peer = peers[name];
        if (peer.dialled == id)
            peer.dialled = 0;
        peer.delay = duration::zero();
        loop.cancel(std::exchange(peer.retry, 0));
        l.wire->confirm();
        if (peer.current == 0) {
            peer.current = id;
            callbacks.up(name);
            return;
        }
        link_state &former = links.at(peer.current);
        if (!isPreferred(l, former)) {
            l.wire->closeAfter(retireLimit);
            return;
        }
        const link_id formerId = std::exchange(peer.current, id);
        if (isSimultaneous(l, former)) {
            former.wire->closeAfter(retireLimit);
            return;
        }
        release(formerId, former);
        callbacks.down(name);
        if (isUp(name)) // Unless the callback has closed everything.
            callbacks.up(name);
    }

    // Closes a link and destroys it in the next round, since it may be further up the stack.
    void release(link_id id, link_state &l)
    {
        l.wire->close();
        loop.post([this, id, alive = std::weak_ptr<int>(life)] {
            if (!alive.expired())
                links.erase(id);
        });
    }

    void onClosed(link_id id)
    {
        link_state &l = links.at(id);
        const host_id name = l.peer.empty() ? l.expected : l.peer;
        release(id, l);
        const auto known = peers.find(name);
        if (known == peers.end())
            return;
        peer_state &peer = known->second;
        if (peer.dialled == id)
            peer.dialled = 0;
        const bool wasCurrent = peer.current == id;
        if (wasCurrent)
            peer.current = 0;
        scheduleDial(name, peer);
        if (!peer.dialTo && peer.current == 0 && peer.dialled == 0)
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
                loop.cancel(std::exchange(peer.retry, 0));
            else if (peer.retry == 0)
                dial(i->first);
            const bool isUnused = !peer.dialTo && peer.current == 0 && peer.dialled == 0;
            i = isUnused ? peers.erase(i) : std::next(i);
        }
    }

    peer_send_result send(const host_id &name, std::string_view frame)
    {
        if (frame.size() > settings.maxFrameBytes)
            return peer_send_result::too_large;
        if (!isUp(name))
            return peer_send_result::no_link;
        peer_link &wire = *links.at(peers.at(name).current).wire;
        if (wire.queuedBytes() + frame.size() > settings.maxQueuedBytes) {
            ++dropped;
            return peer_send_result::full;
        }
        return wire.send(frame) ? peer_send_result::queued : peer_send_result::no_link;
    }

    bool isUp(const host_id &name) const
    {
        const auto found = peers.find(name);
        return found != peers.end() && found->second.current != 0;
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
    std::shared_ptr<int> life = std::make_shared<int>(0); ///< Expires with the links.
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

bool peer_links::isUp(const host_id &peer) const
{
    return m_implementation->isUp(peer);
}

std::vector<host_id> peer_links::peersUp() const
{
    std::vector<host_id> up;
    for (const auto &[name, peer] : m_implementation->peers) {
        if (peer.current != 0)
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
