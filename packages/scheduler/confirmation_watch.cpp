#include "confirmation_watch.h"

#include <algorithm>

namespace crocuswind::scheduler {

void confirmation_watch::onConfirmation(instant now, const owner_confirmation &confirmation)
{
    const owner_confirmation &last = m_seen.confirmation;
    const bool isOlder = confirmation.epoch < last.epoch
        || (confirmation.epoch == last.epoch && confirmation.number <= last.number);
    if (isOlder)
        return;
    m_isAgeKnown = last.epoch != 0;
    if (confirmation.epoch != last.epoch)
        m_seenOfFormerOwner = m_seen;
    m_seen = {confirmation, now};
}

// An owner of which this host has seen no confirmation may be of an earlier build.
void confirmation_watch::onEpoch(instant now, std::int64_t epoch)
{
    const bool isTraced = sightOf(epoch - 1).confirmation.epoch == epoch - 1;
    const bool wasWatched = epoch > 1 && m_watchedEpoch == epoch - 1;
    if (!isTraced && wasWatched)
        m_untracedUntil = now + untracedAuthorityLimit;
    m_watchedEpoch = epoch;
    limit(epoch - 1, now + (isTraced ? m_authorityLimit : untracedAuthorityLimit));
    m_formerAuthority.forgetBefore(now);
}

void confirmation_watch::onReplaced(instant now, const owner_confirmation &last)
{
    if (last.number == 0) {
        m_untracedUntil = now + untracedAuthorityLimit;
        limit(last.epoch, m_untracedUntil);
        return;
    }
    const sight &seen = sightOf(last.epoch);
    const instant confirmedBy = seen.confirmation == last ? seen.at : now;
    limit(last.epoch, confirmedBy + m_authorityLimit);
}

// A bound holds for all owners up to the epoch, so that it must not cut short an untraced one.
void confirmation_watch::limit(std::int64_t epoch, instant end)
{
    m_formerAuthority.limit(epoch, std::max(end, m_untracedUntil));
}

owner_confirmation confirmation_watch::lastSeen(std::int64_t epoch) const
{
    return sightOf(epoch).confirmation;
}

// A new owner may see its own first confirmation before the answer to it arrives.
const confirmation_watch::sight &confirmation_watch::sightOf(std::int64_t epoch) const
{
    return m_seen.confirmation.epoch <= epoch ? m_seen : m_seenOfFormerOwner;
}

} // namespace crocuswind::scheduler
