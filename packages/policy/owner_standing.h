/// Decides by which way the owner of the jobs reaches the store: by itself, or through another host
/// that the store serves. Open it to learn when an owner that the store refuses makes a detour, and
/// when it returns.
#ifndef CROCUSWIND_POLICY_OWNER_STANDING_H
#define CROCUSWIND_POLICY_OWNER_STANDING_H

#include "base/base.h"

#include <cstddef>
#include <optional>

namespace crocuswind::policy {

/// How a call to the store is made.
enum class store_way {
    direct, ///< By this host; through another one only if that certainly had no effect.
    detour, ///< Through another host.
};

/// What a host has seen of the store, by its own calls and by those that others made for it.
/// The user reports each outcome; the value decides the way of the next call.
class owner_standing
{
public:
    /// The store has answered a call of this host that took \p took.
    void onDirectAnswer(instant now, duration took);

    /// The store has refused a call of this host, or has not answered it in time.
    void onDirectFailure(instant now);

    /// A call through another host was answered by the store.
    void onDetourAnswer(instant now);

    /// None of the hosts that were asked could make a call: the store serves nobody, or no host
    /// can be reached.
    void onDetourFailure(instant now);

    /// Returns the way of the next call.
    store_way way() const;

    /// Returns true if other hosts may be asked at \p now. After a failure of all of them they are
    /// left alone for a while, so that a store that is down for everybody is not called by
    /// everybody.
    bool mayAskOthers(instant now) const { return now >= m_askAgainAt; }

    /// Returns how long a call that may be repeated waits for the store before another host makes
    /// it as well. Longer than the store usually takes, so that a slow store isn't called twice.
    duration patience() const;

    /// Since when the store has failed this host; nothing if its last call was answered.
    std::optional<instant> failingSince() const { return m_failingSince; }

private:
    std::optional<instant> m_failingSince;
    bool m_isDetouring = false;
    int m_answersInTurn = 0; ///< Direct answers without a failure in between.
    duration m_usualAnswer = duration::zero();
    instant m_askAgainAt;
};

/// Most hosts that are asked in turn to make one call.
constexpr std::size_t maxHostsAsked = 5;

} // namespace crocuswind::policy

#endif
