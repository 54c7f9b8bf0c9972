// Guards against callers who wait for their whole time at a host that cannot serve them, and
// against callers who are refused although the next owner is about to serve them.

#include "policy/policy.h"

#include <gtest/gtest.h>
#include <set>

using namespace crocuswind;
using namespace crocuswind::policy;

namespace {

constexpr instant lost{100s};

owner_contact contactOf(std::optional<instant> unreachable, std::optional<instant> blind)
{
    owner_contact contact;
    contact.unreachableSince = unreachable;
    contact.blindSince = blind;
    return contact;
}

} // namespace

TEST(call_patience, LastsForAChangeOfOwnerThatTheHostSees)
{
    const owner_contact contact = contactOf(lost, std::nullopt);
    EXPECT_FALSE(refusesCalls(contact, lost + 2s));
    EXPECT_TRUE(refusesCalls(contact, lost + 3s));
}

TEST(call_patience, IsShortAtAHostThatIsCutOff)
{
    EXPECT_FALSE(refusesCalls(contactOf(lost, lost - 1s), lost + 200ms)) << "a link that was reset";
    EXPECT_TRUE(refusesCalls(contactOf(lost, lost - 1s), lost + 500ms));
    EXPECT_TRUE(refusesCalls(contactOf(lost, lost + 600ms), lost + 600ms));
}

// The link to an owner that is cut takes calls until it is closed.
TEST(call_patience, IsNoneAtAHostThatHearsNeitherTheOwnerNorTheStore)
{
    EXPECT_FALSE(isSilent(lost + 1s, lost, lost));
    EXPECT_TRUE(isSilent(lost + 2s, lost, lost));
    EXPECT_FALSE(isSilent(lost + 2s, lost, lost + 1s)) << "the owner has died, or its host";
    EXPECT_FALSE(isSilent(lost + 2s, lost + 1s, lost)) << "the store is down, or refuses this host";
    owner_contact contact = contactOf(std::nullopt, std::nullopt);
    contact.isSilent = true;
    EXPECT_TRUE(refusesCalls(contact, lost));
    contact.unreachableSince = lost;
    EXPECT_EQ(patienceEnd(contact), lost);
}

TEST(call_patience, HasNoEndWhileTheOwnerIsReached)
{
    EXPECT_FALSE(refusesCalls(contactOf(std::nullopt, lost), lost + 60s));
}

// A former owner that is cut off together with other hosts still answers them.
TEST(call_patience, EndsWhenAFormerOwnerIsAllThatAHostSees)
{
    owner_contact contact = contactOf(std::nullopt, lost);
    contact.disownedSince = lost;
    EXPECT_FALSE(isDisowned(contact, lost + 500ms)) << "a takeover";
    EXPECT_TRUE(isDisowned(contact, lost + 1s));
    contact.blindSince.reset();
    EXPECT_FALSE(isDisowned(contact, lost + 60s)) << "the store will show the next owner";
}

TEST(call_patience, SpreadsTheCallersThatItSendsAway)
{
    const owner_contact contact = contactOf(lost, std::nullopt);
    std::set<std::int64_t> delays;
    for (std::uint64_t call = 0; call < 100; ++call)
        delays.insert(retryAfterMs(contact, call));
    EXPECT_GT(delays.size(), 50U);
    EXPECT_GE(*delays.begin(), 1000);
    EXPECT_LE(*delays.rbegin(), 2000);
}
