// Guards against these failures on one entry host: wrong outcomes, dispatches without a valid seat,
// and retries, cancellations and drains that exceed their limits.

#include "urgent_single_core.h"

#include "urgent/capacity_share.h"
#include "urgent/retry_budget.h"

#include <rapidcheck/gtest.h>

using namespace crocuswind;
using kind = runner_result::kind;

TEST(RequestCore, AnswersARepeatedIdentifierFromTheLedger)
{
    single_core c;
    c.submit(false);
    const auto d = *c.last<dispatch_to_runner>();
    c.result(d, kind::answered);
    const caller_token again = c.submit(false, "lab", urgency::urgent, 2s, d.id);
    EXPECT_EQ(c.replyTo(again), (request_outcome{outcome_kind::answered, {}, "answer"}));
    EXPECT_EQ(c.allOf<dispatch_to_runner>().size(), 1U);
}

TEST(RequestCore, ReportsUnknownForAnExpiredIdentifier)
{
    single_core c;
    c.send(identifier_asked{++c.lastCaller});
    const request_id id = c.last<reply_identifier>()->id;
    c.now += duration(601s);
    const caller_token caller = c.submit(false, "lab", urgency::urgent, 2s, id);
    EXPECT_EQ(c.replyTo(caller), unknownOutcome(outcome_reason::identifier_expired));
    EXPECT_TRUE(c.allOf<dispatch_to_runner>().empty());
}

TEST(RequestCore, ReportsUnknownForAnIdentifierOfAFormerIncarnation)
{
    // The former incarnation may have run the request. The current one has issued the same sequence
    // number, but no request has used it.
    single_core c;
    c.send(identifier_asked{++c.lastCaller});
    request_id id = c.last<reply_identifier>()->id;
    --id.epoch;
    const caller_token caller = c.submit(false, "lab", urgency::urgent, 2s, id);
    EXPECT_EQ(c.replyTo(caller)->kind, outcome_kind::unknown);
    EXPECT_TRUE(c.allOf<dispatch_to_runner>().empty());
}

TEST(RequestCore, AcceptsALateAnswerAfterUnknown)
{
    single_core c;
    const caller_token caller = c.submit(false, "lab", urgency::urgent, 1s);
    const auto d = *c.last<dispatch_to_runner>();
    c.wait(1100ms);
    EXPECT_EQ(c.replyTo(caller), unknownOutcome(outcome_reason::runner_silent));
    c.result(d, kind::answered);
    c.send(outcome_asked{99, d.id});
    EXPECT_EQ(c.replyTo(99)->kind, outcome_kind::answered);
}

TEST(RequestCore, ReportsAnUnusedIdentifierAsPending)
{
    // `not_run` would become wrong if the request arrived afterwards.
    single_core c;
    c.send(identifier_asked{++c.lastCaller});
    c.send(outcome_asked{99, c.last<reply_identifier>()->id});
    EXPECT_EQ(c.replyTo(99)->kind, outcome_kind::pending);
}

TEST(RequestCore, IgnoresTheAnswerOfAnEarlierAttempt)
{
    single_core c;
    for (int i = 0; i < 10; ++i) { // Earns the credit for a retry.
        c.submit();
        c.result(*c.last<dispatch_to_runner>(), kind::answered);
    }
    const caller_token caller = c.submit(true, "lab", urgency::urgent, 2s);
    const auto first = *c.last<dispatch_to_runner>();
    c.wait(1100ms); // The first attempt is cancelled after half of the time left.
    const auto second = *c.last<dispatch_to_runner>();
    EXPECT_NE(first.attempt, second.attempt);
    EXPECT_NE(first.runner, second.runner);
    EXPECT_EQ(c.last<cancel_attempt>()->attempt, first.attempt);
    c.result(first, kind::answered);
    EXPECT_EQ(c.replyTo(caller), std::nullopt);
    c.send(outcome_asked{99, first.id});
    EXPECT_EQ(c.replyTo(99)->kind, outcome_kind::pending);
    c.result(second, kind::answered);
    EXPECT_EQ(c.replyTo(caller)->kind, outcome_kind::answered);
}

TEST(RequestCore, RetriesAnUnrepeatableRequestOnlyIfItDidNotStart)
{
    single_core c;
    const caller_token refused = c.submit(false);
    const auto first = *c.last<dispatch_to_runner>();
    c.result(first, kind::refused_before_start, true);
    const auto second = *c.last<dispatch_to_runner>();
    EXPECT_NE(second.runner, first.runner);
    c.result(second, kind::failed);
    EXPECT_EQ(c.replyTo(refused), unknownOutcome(outcome_reason::runner_failed));
    EXPECT_EQ(c.allOf<dispatch_to_runner>().size(), 2U);
}

TEST(RequestCore, NeverReportsNotRunAfterAnAttemptThatMayHaveRun)
{
    // The first attempt may have run, even though the second is refused before the start.
    single_core c;
    for (int i = 0; i < 10; ++i) {
        c.submit();
        c.result(*c.last<dispatch_to_runner>(), kind::answered);
    }
    const caller_token caller = c.submit();
    c.result(*c.last<dispatch_to_runner>(), kind::no_answer);
    c.wait(100ms);
    c.result(*c.last<dispatch_to_runner>(), kind::refused_before_start);
    EXPECT_EQ(c.replyTo(caller)->kind, outcome_kind::unknown);
}

TEST(RequestCore, CancelsARequestWhoseCallerDisconnects)
{
    single_core c(1, 1);
    const caller_token running = c.submit();
    const auto d = *c.last<dispatch_to_runner>();
    const caller_token queued = c.submit(false);
    c.send(request_caller_gone{queued});
    EXPECT_EQ(c.core.counts().queued, 0U);
    c.send(request_caller_gone{running});
    EXPECT_EQ(c.last<cancel_attempt>()->attempt, d.attempt);
    // The slot stays taken until the runner must have stopped working on the request.
    EXPECT_EQ(c.core.counts().slotsTaken, 1U);
    c.result(d, kind::no_answer);
    EXPECT_EQ(c.core.counts().slotsTaken, 1U);
    c.wait(2300ms);
    EXPECT_EQ(c.core.counts().slotsTaken, 0U);
}

TEST(RequestCore, CompletesAnUnrepeatableRequestWhoseCallerDisconnects)
{
    single_core c;
    const caller_token caller = c.submit(false);
    const auto d = *c.last<dispatch_to_runner>();
    c.send(request_caller_gone{caller});
    EXPECT_FALSE(c.last<cancel_attempt>());
    c.result(d, kind::answered);
    c.send(outcome_asked{99, d.id});
    EXPECT_EQ(c.replyTo(99)->kind, outcome_kind::answered);
}

TEST(RequestCore, QuarantinesAShareThatWasNotReleased)
{
    single_core c;
    c.send(urgent_seat_lost{});
    c.send(urgent_seat_granted{0, 1, instant::max(), false});
    c.submit(true, "lab", urgency::normal, 10s);
    EXPECT_FALSE(c.last<dispatch_to_runner>());
    c.wait(5990ms);
    EXPECT_FALSE(c.last<dispatch_to_runner>());
    c.wait(20ms);
    EXPECT_TRUE(c.last<dispatch_to_runner>());
}

TEST(RequestCore, DispatchesNothingWithoutAValidSeat)
{
    single_core c;
    c.send(urgent_seat_granted{0, 1, c.now + duration(1s), true});
    c.now += duration(1s);
    const caller_token caller = c.submit();
    EXPECT_EQ(c.replyTo(caller), notRun(outcome_reason::no_capacity));
    EXPECT_TRUE(c.allOf<dispatch_to_runner>().empty());
}

TEST(RequestCore, ServesRequestsDuringTheDrainDelay)
{
    single_core c(1, 1);
    const caller_token running = c.submit(false);
    const auto d = *c.last<dispatch_to_runner>();
    c.send(urgent_drain{});
    std::string reason;
    EXPECT_FALSE(c.core.isReady(&reason));
    const caller_token queued = c.submit();
    c.wait(1s);
    EXPECT_EQ(c.replyTo(queued), std::nullopt); // Not rejected during the drain delay.
    c.result(d, kind::answered);
    c.result(*c.last<dispatch_to_runner>(), kind::answered);
    EXPECT_EQ(c.replyTo(running)->kind, outcome_kind::answered);
    EXPECT_EQ(c.replyTo(queued)->kind, outcome_kind::answered);
    EXPECT_FALSE(c.last<urgent_drained>());
    c.wait(1100ms);
    EXPECT_TRUE(c.last<urgent_drained>());
    const caller_token late = c.submit();
    EXPECT_EQ(c.replyTo(late), notRun(outcome_reason::draining));
}

TEST(RequestCore, CompletesADrainWithinTheLimit)
{
    // The runner never answers, so each attempt holds the only slot for 5.25 s.
    single_core c(1, 1);
    c.submit(false);
    std::vector<caller_token> queued;
    for (int i = 0; i < 10; ++i)
        queued.push_back(c.submit(true, "lab", urgency::normal, 60s));
    c.send(urgent_drain{});
    c.wait(20s);
    EXPECT_TRUE(c.allOf<urgent_drained>().empty());
    EXPECT_EQ(c.replyTo(queued.back()), std::nullopt);
    c.wait(10s);
    EXPECT_EQ(c.allOf<urgent_drained>().size(), 1U);
    EXPECT_EQ(c.replyTo(queued.back()), notRun(outcome_reason::draining));
    EXPECT_EQ(c.core.counts().slotsTaken, 0U);
}

TEST(RequestCore, UsesOnlyTheSlotsOfItsSeat)
{
    single_core c(2, 3);
    c.send(urgent_seat_granted{1, 2, instant::max(), true});
    const int part
        = seatShare(3, runner_id{"runner-0"}, 1, 2) + seatShare(3, runner_id{"runner-1"}, 1, 2);
    for (int i = 0; i < 10; ++i)
        c.submit(i % 2 == 0);
    EXPECT_EQ(c.allOf<dispatch_to_runner>().size(), std::size_t(part));
}

TEST(RequestCore, StopsUsingALeavingRunnerImmediately)
{
    single_core c(2, 2);
    c.submit();
    const auto d = *c.last<dispatch_to_runner>();
    c.result(d, kind::answered, true);
    c.send(c.listing); // The host list lags and still shows the runner as live.
    for (int i = 0; i < 4; ++i)
        c.submit();
    for (const auto &later : c.allOf<dispatch_to_runner>())
        EXPECT_TRUE(later.attempt == d.attempt || later.runner != d.runner);
    // The list shows the runner as absent and then as live again, so it was replaced.
    const runners_listed full = c.listing;
    c.listRunners(0, 0);
    c.send(full);
    EXPECT_EQ(c.core.counts().leavingRunners, 0U);
}

RC_GTEST_PROP(CapacityShare, GivesEverySlotToExactlyOneSeat, (const std::string &name))
{
    const int total = *rc::gen::inRange(0, 70);
    const int seats = *rc::gen::inRange(1, 9);
    int sum = 0;
    for (int seat = 0; seat < seats; ++seat) {
        const int part = seatShare(total, runner_id{name}, seat, seats);
        RC_ASSERT(part >= total / seats && part <= total / seats + 1);
        sum += part;
    }
    RC_ASSERT(sum == total);
}

RC_GTEST_PROP(RetryBudget, StaysWithinATenthOfFirstAttempts, (const std::vector<bool> &isRetry))
{
    retry_budget budget;
    int first = 0;
    int retries = 0;
    for (bool r : isRetry) {
        if (r) {
            retries += budget.spend() ? 1 : 0;
        } else {
            ++first;
            budget.earn(0.1, 10);
        }
        RC_ASSERT(retries * 10 <= first);
    }
}
