#include "confirmation_watch.h"

namespace crocuswind::scheduler {

void confirmation_watch::onConfirmation(instant now, const owner_confirmation &confirmation)
{
    const bool isOlder = confirmation.epoch < m_seen.epoch
        || (confirmation.epoch == m_seen.epoch && confirmation.number <= m_seen.number);
    if (isOlder)
        return;
    m_seen = confirmation;
    m_seenAt = now;
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
    const instant confirmedBy = last == m_seen ? m_seenAt : now;
    m_formerAuthority.limit(last.epoch, confirmedBy + m_authorityLimit);
}

// An owner of which this host has seen no confirmation may be of an earlier build.
duration confirmation_watch::limitOf(std::int64_t epoch) const
{
    return m_seen.epoch == epoch ? m_authorityLimit : untracedAuthorityLimit;
}

} // namespace crocuswind::scheduler
