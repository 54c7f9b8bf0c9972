/// Keeps this host linked to the owner of the jobs, and tells hosts that the store may not serve
/// who that is. Open it to learn how a host finds an owner that it cannot see in the store.
#ifndef CROCUSWIND_JOBS_OWNER_CONTACTS_H
#define CROCUSWIND_JOBS_OWNER_CONTACTS_H

#include "host_links.h"
#include "scheduler/scheduler.h"

#include <optional>

namespace crocuswind {

/// The owner and the one before it, as this host knows them. Links to former owners stay open, and
/// the hosts that a former owner served are linked to it. So whoever learns of a new owner tells
/// the former one, and that tells all hosts that it is linked to.
class owner_contacts
{
public:
    /// \p links must outlive this object.
    owner_contacts(host_links &links, host_id self);

    /// The owner has changed: links this host to it, and tells the owner before.
    void setOwner(const std::optional<scheduler::owner_info> &owner);

    /// Passes on what the host \p from has told, and this host did not know.
    void spread(const host_id &from, const scheduler::owner_info &owner);

    /// Returns the owner; empty if no host owns the jobs.
    const host_id &owner() const { return m_owner; }

    /// Returns true if another host owns the jobs.
    bool isElsewhere() const { return !m_owner.empty() && m_owner != m_self; }

private:
    host_links &m_links;
    host_id m_self;
    host_id m_owner;
    host_id m_formerOwner;
};

} // namespace crocuswind

#endif
