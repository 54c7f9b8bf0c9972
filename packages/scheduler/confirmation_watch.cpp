#include "confirmation_watch.h"

#include <algorithm>

namespace crocuswind::scheduler {

namespace {

/// Longer than any authority lasts after the sight of its last confirmation.
constexpr duration sightRetention = untracedAuthorityLimit + 2s;

} // namespace

void confirmation_watch::onConfirmation(instant now, const published_confirmation &published)
{
    const owner_confirmation &confirmation = published.confirmation;
    const bool isFirst = m_sights.empty();
    if (!isFirst && !(m_sights.back().published.confirmation < confirmation))
        return;
    const bool isFirstOfEpoch
        = isFirst || m_sights.back().published.confirmation.epoch != confirmation.epoch;
    m_isAgeKnown = !isFirst;
    m_sights.push_back({published, now});
    if (published.former && isFirstOfEpoch)
        limitBy(now, confirmation.epoch, *published.former);
    while (m_sights.size() > 1 && m_sights.front().at < now - sightRetention)
        m_sights.pop_front();
    if (published.clockMs != 0)
        m_formerAuthority.noteClock(confirmation.epoch, published.clockMs, now);
}

// An owner of which this host has seen nothing may be of an earlier build.
void confirmation_watch::onEpoch(instant now, std::int64_t epoch)
{
    const bool isTraced = lastSeen(epoch - 1).epoch == epoch - 1;
    const bool wasWatched = epoch > 1 && m_watchedEpoch == epoch - 1;
    if (!isTraced && wasWatched)
        m_untracedUntil = now + untracedAuthorityLimit;
    m_watchedEpoch = epoch;
    limit(epoch - 1, now + (isTraced ? m_authorityLimit : untracedAuthorityLimit));
    m_formerAuthority.forgetBefore(now);
}

void confirmation_watch::onAcquired(instant now, std::int64_t epoch, const owner_confirmation &last)
{
    limitBy(now, epoch, last);
    m_formerAuthority.setLastConfirmedEpoch(last.epoch);
}

// Bounds the authority of all owners before the epoch. None was confirmed after the last
// confirmation.
void confirmation_watch::limitBy(instant now, std::int64_t epoch, const owner_confirmation &last)
{
    if (last.epoch == 0) {
        limit(epoch - 1, now);
        return;
    }
    if (last.number == 0) {
        m_untracedUntil = std::max(m_untracedUntil, now + untracedAuthorityLimit);
        limit(epoch - 1, m_untracedUntil);
        return;
    }
    const auto seen = std::find_if(m_sights.begin(), m_sights.end(), [&](const sight &s) {
        return s.published.confirmation == last;
    });
    limit(epoch - 1, (seen == m_sights.end() ? now : seen->at) + m_authorityLimit);
}

// A bound holds for all owners up to the epoch, so that it must not cut short an untraced one.
void confirmation_watch::limit(std::int64_t epoch, instant end)
{
    m_formerAuthority.limit(epoch, std::max(end, m_untracedUntil));
}

owner_confirmation confirmation_watch::lastSeen(std::int64_t epoch) const
{
    const auto found = std::find_if(m_sights.rbegin(), m_sights.rend(), [epoch](const sight &s) {
        return s.published.confirmation.epoch <= epoch;
    });
    return found == m_sights.rend() ? owner_confirmation() : found->published.confirmation;
}

} // namespace crocuswind::scheduler
