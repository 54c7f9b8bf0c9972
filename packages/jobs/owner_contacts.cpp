#include "owner_contacts.h"

#include <utility>
#include <vector>

namespace crocuswind {

using namespace scheduler;

owner_contacts::owner_contacts(host_links &links, host_id self)
    : m_links(links)
    , m_self(std::move(self))
{ }

void owner_contacts::setOwner(const std::optional<owner_info> &owner)
{
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
}

void owner_contacts::spread(const host_id &from, const owner_info &owner)
{
    for (const host_id &peer : m_links.peersUp()) {
        if (peer != from && peer != owner.host)
            m_links.sendOwnerNews(peer, owner);
    }
}

} // namespace crocuswind
