/// Decides how long a caller's call that cannot be passed on to the owner of the jobs waits before
/// it is refused. Open it to learn when a host tells callers to come back, and when it reports that
/// it is not ready.
#ifndef CROCUSWIND_POLICY_CALL_PATIENCE_H
#define CROCUSWIND_POLICY_CALL_PATIENCE_H

#include "base/base.h"

#include <cstdint>
#include <optional>

namespace crocuswind::policy {

/// What a host knows of the owner of the jobs and of its own place.
struct owner_contact
{
    /// Since when the owner has not been reachable; nothing if it is.
    std::optional<instant> unreachableSince;
    /// Since when this host has not seen in the store who the owner is; nothing if it sees it. A
    /// host that sees neither the owner nor the store is cut off, and doesn't learn of a new owner.
    std::optional<instant> blindSince;
    /// Neither the owner nor the store has been heard for too long (isSilent()), though the link to
    /// the owner still stands.
    bool isSilent = false;
    /// Since when the owner's host answers that it does not own the jobs, or not yet.
    std::optional<instant> disownedSince;

    friend bool operator==(const owner_contact &a, const owner_contact &b)
    {
        return a.unreachableSince == b.unreachableSince && a.blindSince == b.blindSince
            && a.isSilent == b.isSilent && a.disownedSince == b.disownedSince;
    }
};

/// Returns true if a host that last heard of the owner's host and of the store at these times is
/// probably cut off. Links carry a ping each 500 ms; an owner confirms itself in the store as
/// often, and without one a watch of its key is answered each 900 ms.
bool isSilent(instant now, instant ownerHeardAt, instant storeHeardAt);

/// Returns true if this host sees neither the owner nor the store.
bool isCutOff(const owner_contact &contact);

/// Returns until when calls wait for an owner: a host that sees the store waits as long as a change
/// of owner usually takes, and one that is cut off a moment only. Only if `unreachableSince` is
/// set.
instant patienceEnd(const owner_contact &contact);

/// Returns true if this host would refuse a call that arrives at \p now, so that it is not ready.
bool refusesCalls(const owner_contact &contact, instant now);

/// Returns true if the owner's host has not owned the jobs for longer than a takeover lasts, and
/// this host does not see in the store who owns them instead. Calls are still sent, since an answer
/// shows when that ends, but no call waits, and the host is not ready.
bool isDisowned(const owner_contact &contact, instant now);

/// Returns the delay in milliseconds after which a refused caller may come back. \p number differs
/// from call to call, and spreads the callers.
std::int64_t retryAfterMs(const owner_contact &contact, std::uint64_t number);

} // namespace crocuswind::policy

#endif
