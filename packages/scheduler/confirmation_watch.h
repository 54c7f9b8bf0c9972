/// Tracks the confirmations of the owners of the jobs that a host has seen in the store, and bounds
/// the authority of former owners by them.
#ifndef CROCUSWIND_SCHEDULER_CONFIRMATION_WATCH_H
#define CROCUSWIND_SCHEDULER_CONFIRMATION_WATCH_H

#include "earlier_authority.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace crocuswind::scheduler {

/// A write by which an owner had its ownership confirmed. The write compares the epoch key, so none
/// takes effect after another host has acquired the ownership.
struct owner_confirmation
{
    std::int64_t epoch = 0; ///< 0 if no owner was ever confirmed.
    /// Within the epoch, from 1. 0 if the owner is of a build that leaves no trace of them.
    std::int64_t number = 0;

    friend bool operator==(const owner_confirmation &a, const owner_confirmation &b)
    {
        return a.epoch == b.epoch && a.number == b.number;
    }
    friend bool operator<(const owner_confirmation &a, const owner_confirmation &b)
    {
        return a.epoch != b.epoch ? a.epoch < b.epoch : a.number < b.number;
    }
};

/// What an owner shows to all hosts when it acquires the ownership and with each confirmation.
struct published_confirmation
{
    /// Number 0 stands for the acquisition, which allows no lease yet.
    owner_confirmation confirmation;
    /// The last confirmation of any owner before. Unknown if an earlier build wrote this.
    std::optional<owner_confirmation> former;
    std::int64_t clockMs = 0; ///< The owner's clock when it sent this; 0 if not known.

    friend bool operator==(const published_confirmation &a, const published_confirmation &b)
    {
        return a.confirmation == b.confirmation && a.former == b.former && a.clockMs == b.clockMs;
    }
};

/// Owners of earlier builds are confirmed without a trace, up to the moment when they are replaced,
/// and extend leases for up to this long after.
constexpr duration untracedAuthorityLimit = 8s;

/// One host's view of the confirmations, on its own clock. An owner extends leases of workers until
/// a fixed time after it has sent its last confirmation, which is not after this host has seen it.
class confirmation_watch
{
public:
    /// \p authorityLimit is for how long after a confirmation an owner may extend leases.
    explicit confirmation_watch(duration authorityLimit)
        : m_authorityLimit(authorityLimit)
    { }

    /// The store holds this confirmation.
    void onConfirmation(instant now, const published_confirmation &published);

    /// The store names an owner of this epoch. It confirms no earlier one any more.
    void onEpoch(instant now, std::int64_t epoch);

    /// This host has acquired the ownership under \p epoch. \p last is the last confirmation of any
    /// owner before.
    void onAcquired(instant now, std::int64_t epoch, const owner_confirmation &last);

    /// Returns the last confirmation that this host has seen of owners up to \p epoch.
    owner_confirmation lastSeen(std::int64_t epoch) const;

    /// Returns true if this host saw the last confirmation appear. Of one that it found when it
    /// began to watch it does not know the age.
    bool isAgeKnown() const { return m_sights.empty() || m_isAgeKnown; }

    /// Returns until when the former owners could extend leases.
    const earlier_authority &formerAuthority() const { return m_formerAuthority; }

private:
    struct sight
    {
        published_confirmation published;
        instant at;
    };

    void limit(std::int64_t epoch, instant end);
    void limitBy(instant now, std::int64_t epoch, const owner_confirmation &last);

    duration m_authorityLimit;
    /// In the order of the confirmations. Those that no longer bound anything are dropped, but for
    /// the last.
    std::deque<sight> m_sights;
    bool m_isAgeKnown = false;
    std::int64_t m_watchedEpoch = 0; ///< Of the last owner that this host has seen.
    instant m_untracedUntil; ///< Until when owners of earlier builds may extend leases.
    earlier_authority m_formerAuthority;
};

} // namespace crocuswind::scheduler

#endif
