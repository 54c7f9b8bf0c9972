#include "owner_contacts.h"

#include <utility>
#include <vector>

namespace crocuswind {

using namespace scheduler;

namespace {

constexpr duration silenceCheckInterval = 200ms;

} // namespace

owner_contacts::owner_contacts(event_loop &loop, host_links &links, job_router &router,
                               host_id self)
    : m_loop(loop)
    , m_links(links)
    , m_router(router)
    , m_self(std::move(self))
    , m_storeHeardAt(loop.now())
{
    checkSilence();
}

owner_contacts::~owner_contacts()
{
    m_loop.cancel(m_timer);
}

void owner_contacts::onStoreHeard()
{
    m_storeHeardAt = m_loop.now();
    m_router.setOwnerVisible(true);
}

// Two checks in turn must agree: a host that was short of processor time may have input to read.
void owner_contacts::checkSilence()
{
    const bool isSilent = isSilentNow();
    m_router.setSilent(isSilent && m_wasSilent);
    m_wasSilent = isSilent;
    m_timer = m_loop.callAt(m_loop.now() + silenceCheckInterval, [this] { checkSilence(); });
}

bool owner_contacts::isSilentNow() const
{
    if (!isElsewhere())
        return false;
    const instant ownerHeardAt = m_links.lastHeard(m_owner).value_or(instant());
    return policy::isSilent(m_loop.now(), ownerHeardAt, m_storeHeardAt);
}

void owner_contacts::setOwner(const std::optional<owner_info> &owner)
{
    m_log.info("event=owner host={} epoch={}", owner ? owner->host.value : "none",
               owner ? owner->epoch : 0);
    const host_id before = std::exchange(m_owner, owner ? owner->host : host_id());
    if (!before.empty())
        m_formerOwner = before;
    if (owner && m_formerOwner != owner->host)
        m_links.sendOwnerNews(m_formerOwner, *owner);
    std::vector<peer_address> peers;
    if (isElsewhere()) {
        if (const auto endpoint = parseEndpoint(owner->address))
            peers.push_back({owner->host, *endpoint});
    }
    m_links.setPeers(peers);
    m_router.setOwner(owner ? std::optional<host_id>(m_owner) : std::nullopt);
}

void owner_contacts::spread(const host_id &from, const owner_info &owner)
{
    m_log.info("event=owner_news from={} host={} epoch={}", from.value, owner.host.value,
               owner.epoch);
    for (const host_id &peer : m_links.peersUp()) {
        if (peer != from && peer != owner.host)
            m_links.sendOwnerNews(peer, owner);
    }
}

} // namespace crocuswind
