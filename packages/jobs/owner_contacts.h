/// Keeps this host linked to the owner of the jobs, and tells hosts that the store may not serve
/// who that is. Open it to learn how a host finds an owner that it cannot see in the store.
#ifndef CROCUSWIND_JOBS_OWNER_CONTACTS_H
#define CROCUSWIND_JOBS_OWNER_CONTACTS_H

#include "host_links.h"
#include "job_router.h"
#include "scheduler/scheduler.h"

#include <optional>

namespace crocuswind {

/// The owner and the one before it, as this host knows them. Links to former owners stay open, and
/// the hosts that a former owner served are linked to it. So whoever learns of a new owner tells
/// the former one, and that tells all hosts that it is linked to.
class owner_contacts
{
public:
    /// \p links and \p router must outlive this object. The router learns whether this host is
    /// probably cut off.
    owner_contacts(event_loop &loop, host_links &links, job_router &router, host_id self);
    ~owner_contacts();
    owner_contacts(const owner_contacts &) = delete;
    owner_contacts &operator=(const owner_contacts &) = delete;

    /// The owner has changed: links this host to it, tells the owner before, and has the router
    /// send calls there.
    void setOwner(const std::optional<scheduler::owner_info> &owner);

    /// Passes on what the host \p from has told, and this host did not know.
    void spread(const host_id &from, const scheduler::owner_info &owner);

    /// The store has shown this host who the owner is.
    void onStoreHeard();

    /// Returns the owner; empty if no host owns the jobs.
    const host_id &owner() const { return m_owner; }

    /// Returns true if another host owns the jobs.
    bool isElsewhere() const { return !m_owner.empty() && m_owner != m_self; }

private:
    void checkSilence();
    bool isSilentNow() const;

    event_loop &m_loop;
    host_links &m_links;
    job_router &m_router;
    logger m_log{"scheduler"};
    host_id m_self;
    host_id m_owner;
    host_id m_formerOwner;
    instant m_storeHeardAt;
    bool m_wasSilent = false; ///< At the last check.
    timer_id m_timer = 0;
};

} // namespace crocuswind

#endif
