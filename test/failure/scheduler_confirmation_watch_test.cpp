// Guards against a watch of the confirmations that forgets or cuts short the authority of a former
// owner, counts it anew, or misreads the clock of an owner.

#include "scheduler/scheduler.h"

#include <gtest/gtest.h>
#include <optional>

using namespace crocuswind;
using namespace crocuswind::scheduler;

// An owner of this build followed it, and was replaced at once: the bound of the later owner cut
// short the longer one of the earlier.
TEST(ConfirmationWatch, DoesNotCutShortAnUntracedOwner)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onAcquired(start, 2, {1, 0});
    watch.onEpoch(start, 2);
    watch.onConfirmation(start, {{2, 1}, std::nullopt, 0});
    watch.onAcquired(start + 1s, 3, {2, 1});
    watch.onEpoch(start + 1s, 3);
    EXPECT_EQ(watch.formerAuthority().endOf(1), start + untracedAuthorityLimit);
}

// The same on a host that only watched.
TEST(ConfirmationWatch, DoesNotCutShortAnUntracedOwnerThatItWatched)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onEpoch(start - 10s, 1);
    watch.onEpoch(start, 2);
    watch.onConfirmation(start, {{2, 1}, std::nullopt, 0});
    watch.onAcquired(start + 1s, 3, {2, 1});
    EXPECT_EQ(watch.formerAuthority().endOf(1), start + untracedAuthorityLimit);
}

// The reader of a stored time counts from when it can have been at the latest.
TEST(EarlierAuthority, RelatesTimesOfAFormerOwnerToTheOwnClock)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onConfirmation(start, {{3, 1}, owner_confirmation{2, 5}, 7000});
    watch.onConfirmation(start + 500ms, {{3, 2}, owner_confirmation{2, 5}, 7510});
    watch.onConfirmation(start + 1s, {{3, 3}, owner_confirmation{2, 5}, 7900});
    const earlier_authority &authority = watch.formerAuthority();
    // 490 ms after the closest sight, and 2% more.
    EXPECT_EQ(authority.latestTimeOf({3, 8000}), start + 500ms + 499800us);
    EXPECT_EQ(authority.latestTimeOf({3, 7510}), start + 500ms);
    EXPECT_EQ(authority.latestTimeOf({4, 8000}), std::nullopt);
}

// Small differences of the clocks' rates add up over the life of an owner.
TEST(EarlierAuthority, IsNotMisledByAnOwnerWhoseClockIsSlow)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    instant now = start;
    std::int64_t clockMs = 7000;
    for (std::int64_t number = 1; number <= 24; ++number) {
        watch.onConfirmation(now, {{3, number}, owner_confirmation{2, 5}, clockMs});
        EXPECT_GE(watch.formerAuthority().latestTimeOf({3, clockMs}).value(), now) << number;
        now += 3600s;
        clockMs += 3600000 - 180;
    }
}

// The last sight of a former owner was forgotten before its successor named it.
TEST(ConfirmationWatch, DoesNotCountALapsedAuthorityAnew)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onEpoch(start, 1);
    watch.onConfirmation(start, {{1, 1}, owner_confirmation{0, 0}, 1000});
    watch.onConfirmation(start + 1s, {{1, 2}, owner_confirmation{0, 0}, 2000});
    const instant later = start + 12s;
    watch.onEpoch(later, 2);
    watch.onConfirmation(later, {{2, 0}, owner_confirmation{1, 2}, 500});
    EXPECT_LE(watch.formerAuthority().endOf(1), later);
    watch.onAcquired(later, 2, {1, 2});
    EXPECT_LE(watch.formerAuthority().endOf(1), later);
}

TEST(ConfirmationWatch, CountsAnUntracedAuthorityOnce)
{
    confirmation_watch watch(election_settings().authorityLimit);
    const instant start{100s};
    watch.onEpoch(start - 10s, 1);
    watch.onEpoch(start, 2);
    watch.onConfirmation(start, {{2, 0}, owner_confirmation{1, 0}, 1000});
    for (int i = 1; i <= 60; ++i)
        watch.onConfirmation(start + i * 1s, {{2, i}, owner_confirmation{1, 0}, 1000 + i * 1000});
    watch.onAcquired(start + 61s, 3, {2, 60});
    EXPECT_EQ(watch.formerAuthority().endOf(2), start + 60s + election_settings().authorityLimit);
}
