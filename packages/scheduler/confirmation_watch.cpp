#include "confirmation_watch.h"

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

void confirmation_watch::onEpoch(instant now, std::int64_t epoch)
{
    m_formerAuthority.limit(epoch - 1, now + limitOf(epoch - 1));
    m_formerAuthority.forgetBefore(now);
}

void confirmation_watch::onReplaced(instant now, const owner_confirmation &last)
{
    if (last.number == 0) {
        m_formerAuthority.limit(last.epoch, now + untracedAuthorityLimit);
        return;
    }
    const sight &seen = sightOf(last.epoch);
    const instant confirmedBy = seen.confirmation == last ? seen.at : now;
    m_formerAuthority.limit(last.epoch, confirmedBy + m_authorityLimit);
}

owner_confirmation confirmation_watch::lastSeen(std::int64_t epoch) const
{
    return sightOf(epoch).confirmation;
}

// An owner of which this host has seen no confirmation may be of an earlier build.
duration confirmation_watch::limitOf(std::int64_t epoch) const
{
    return sightOf(epoch).confirmation.epoch == epoch ? m_authorityLimit : untracedAuthorityLimit;
}

// A new owner may see its own first confirmation before the answer to it arrives.
const confirmation_watch::sight &confirmation_watch::sightOf(std::int64_t epoch) const
{
    return m_seen.confirmation.epoch <= epoch ? m_seen : m_seenOfFormerOwner;
}

} // namespace crocuswind::scheduler
