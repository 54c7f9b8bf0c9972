// Guards against outcomes that change after they were reported, and against identifiers and
// duplicated dispatch commands that are accepted after they should have been rejected.

#include "urgent/dispatch_command_record.h"
#include "urgent/request_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;

namespace {

const host_id home{"entry-1"};

request_ledger smallLedger()
{
    return request_ledger(home, 7, 600s, 50, 1000);
}

bool isPermitted(outcome_kind from, outcome_kind to)
{
    if (to == outcome_kind::pending)
        return false;
    return from == outcome_kind::pending
        || (from == outcome_kind::unknown && to == outcome_kind::answered);
}

} // namespace

RC_GTEST_PROP(RequestLedger, MakesOnlyPermittedTransitions, (const std::vector<unsigned> &kinds))
{
    request_ledger ledger = smallLedger();
    const request_id id = *ledger.issue(instant());
    ledger.markReceived(id);
    request_outcome expected;
    for (unsigned k : kinds) {
        const request_outcome next{outcome_kind(k % 4), outcome_reason::none, std::to_string(k)};
        const bool permitted = isPermitted(expected.kind, next.kind);
        RC_ASSERT(ledger.recordOutcome(id, next) == permitted);
        if (permitted)
            expected = {next.kind, next.reason,
                        next.kind == outcome_kind::answered ? next.answer : std::string()};
        RC_ASSERT(ledger.outcomeOf(id) == expected);
    }
}

RC_GTEST_PROP(RequestLedger, ForgetsOnlyAfterTheLifetime, (const std::vector<unsigned> &pauses))
{
    request_ledger ledger = smallLedger();
    instant now;
    std::vector<std::pair<request_id, instant>> issued;
    for (unsigned p : pauses) {
        now += std::chrono::milliseconds(p % 60'000);
        ledger.expire(now);
        if (const auto id = ledger.issue(now)) {
            issued.emplace_back(*id, now);
            ledger.markReceived(*id);
            ledger.recordOutcome(*id, {outcome_kind::answered, {}, std::string(p % 400, 'a')});
        }
        for (const auto &[id, when] : issued) {
            const bool isKnown = ledger.lookUp(id) == request_ledger::lookup_result::seen;
            RC_ASSERT(isKnown || now >= when + duration(600s));
            RC_ASSERT(!isKnown || now < when + duration(601s));
        }
        std::vector<std::string> violations;
        ledger.checkInvariants(&violations);
        RC_ASSERT(violations.empty());
    }
}

TEST(RequestLedger, ReportsUnknownForIdentifiersThatItDidNotIssue)
{
    request_ledger ledger = smallLedger();
    const auto id = *ledger.issue(instant());
    EXPECT_EQ(ledger.outcomeOf({host_id{"entry-2"}, 7, 1}).kind, outcome_kind::unknown);
    EXPECT_EQ(ledger.outcomeOf({home, 6, 1}).kind, outcome_kind::unknown);
    EXPECT_EQ(ledger.outcomeOf({home, 7, id.sequence + 1}).kind, outcome_kind::unknown);
    EXPECT_EQ(ledger.outcomeOf(id).kind, outcome_kind::pending);
}

TEST(RequestLedger, ReportsUnknownForDiscardedAnswers)
{
    request_ledger ledger = smallLedger();
    std::vector<request_id> ids;
    for (int i = 0; i < 5; ++i) {
        ids.push_back(*ledger.issue(instant()));
        ledger.markReceived(ids.back());
        ledger.recordOutcome(ids.back(), {outcome_kind::answered, {}, std::string(200, 'a')});
    }
    EXPECT_EQ(ledger.outcomeOf(ids.front()), unknownOutcome(outcome_reason::answer_dropped));
    EXPECT_EQ(ledger.outcomeOf(ids.back()).answer, std::string(200, 'a'));
}

TEST(DispatchCommandRecord, RejectsDuplicatesAndCommandsBeyondItsCapacity)
{
    dispatch_command_record record(600s, 2);
    const instant start;
    const auto id = [](std::int64_t n) { return request_id{home, 7, n}; };
    EXPECT_EQ(record.admit(id(1), start), dispatch_command_record::admission::fresh);
    EXPECT_EQ(record.admit(id(1), start + duration(599s)),
              dispatch_command_record::admission::known);
    EXPECT_EQ(record.admit(id(2), start), dispatch_command_record::admission::fresh);
    EXPECT_EQ(record.admit(id(3), start), dispatch_command_record::admission::full);
    EXPECT_EQ(record.admit(id(3), start + duration(600s)),
              dispatch_command_record::admission::fresh);
}
