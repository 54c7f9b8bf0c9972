// Guards against these failures of admission control: one team's overload takes other teams'
// guaranteed slots or share of the queue, queues grow without limit, and requests are queued
// although they cannot meet their deadline.

#include "urgent_single_core.h"

#include "urgent/admission_queue.h"

#include <rapidcheck/gtest.h>

using namespace crocuswind;
using kind = runner_result::kind;

namespace {

urgent_settings smallQueues()
{
    urgent_settings s = single_core::defaults();
    s.maxQueuedForTeam = 6;
    s.maxQueued = 8;
    s.maxPayloadBytes = 100;
    return s;
}

/// Answers the oldest dispatch that is still in progress. \p answered counts the answered ones.
void answerOldest(single_core &c, std::size_t *answered)
{
    const auto all = c.allOf<dispatch_to_runner>();
    ASSERT_LT(*answered, all.size());
    c.result(all[(*answered)++], kind::answered);
}

} // namespace

TEST(Admission, DispatchesUrgentRequestsBeforeNormalOnes)
{
    single_core c(1, 1);
    c.submit();
    const auto first = *c.last<dispatch_to_runner>();
    c.submit(true, "lab", urgency::normal);
    c.submit(true, "yard", urgency::normal);
    const caller_token urgent = c.submit(true, "yard", urgency::urgent);
    c.result(first, kind::answered);
    c.result(*c.last<dispatch_to_runner>(), kind::answered);
    EXPECT_EQ(c.replyTo(urgent)->kind, outcome_kind::answered);
}

TEST(Admission, KeepsTheGuaranteeOfATeamWhileAnotherOverloads)
{
    single_core c(2, 4);
    std::size_t answered = 0;
    for (int i = 0; i < 100; ++i)
        c.submit(true, "lab", urgency::urgent, 60s);
    EXPECT_EQ(c.core.counts().running, 8U); // The team borrows the idle slots of the other team.
    for (int i = 0; i < 300; ++i) { // Raises the team's average use above its guarantee.
        c.wait(10ms);
        answerOldest(c, &answered);
        c.submit(true, "lab", urgency::urgent, 60s);
    }
    const caller_token normal = c.submit(true, "yard", urgency::normal);
    answerOldest(c, &answered);
    // A normal request of a team within its guarantee takes precedence over urgent requests of a
    // team beyond its guarantee.
    c.result(*c.last<dispatch_to_runner>(), kind::answered);
    EXPECT_TRUE(c.replyTo(normal));
}

TEST(Admission, KeepsAReserveOfSlotsForUrgentRequests)
{
    single_core c(5, 8);
    for (int i = 0; i < 100; ++i)
        c.submit(true, i % 2 == 0 ? "lab" : "yard", urgency::normal);
    EXPECT_EQ(c.core.counts().running, 38U); // 5% of the 40 slots stay free.
    c.submit(true, "lab", urgency::urgent);
    EXPECT_TRUE(c.last<dispatch_to_runner>());
}

TEST(Admission, RejectsRequestsThatCannotMeetTheirDeadlineOnArrival)
{
    single_core c(1, 1);
    EXPECT_EQ(c.replyTo(c.submit(true, "lab", urgency::urgent, 40ms)),
              notRun(outcome_reason::deadline_too_near)); // The service time is 50 ms.
    c.submit();
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(c.replyTo(c.submit()), std::nullopt);
    EXPECT_EQ(c.replyTo(c.submit(true, "lab", urgency::urgent, 220ms)),
              notRun(outcome_reason::deadline_too_near));
}

TEST(Admission, RejectsQueuedRequestsAtTheirDeadline)
{
    single_core c(1, 1);
    c.submit();
    const caller_token queued = c.submit(true, "lab", urgency::urgent, 200ms);
    c.wait(210ms);
    EXPECT_EQ(c.replyTo(queued), notRun(outcome_reason::deadline_passed));
}

TEST(Admission, RejectsUrgentRequestsThatCannotStartWithinTheLimit)
{
    single_core c(1, 1);
    c.submit(false, "lab", urgency::urgent, 5s);
    const caller_token queued = c.submit(true, "lab", urgency::urgent, 5s);
    const caller_token normal = c.submit(true, "lab", urgency::normal, 5s);
    c.wait(1399ms);
    EXPECT_EQ(c.replyTo(queued), std::nullopt);
    c.wait(2ms);
    EXPECT_EQ(c.replyTo(queued), notRun(outcome_reason::start_too_late));
    EXPECT_EQ(c.replyTo(normal), std::nullopt);
}

TEST(Admission, DisplacesNormalRequestsForUrgentOnesOfTheSameTeam)
{
    single_core c(1, 1, smallQueues());
    c.submit();
    caller_token newest = 0;
    for (int i = 0; i < 6; ++i)
        newest = c.submit(true, "lab", urgency::normal);
    EXPECT_EQ(c.replyTo(c.submit(true, "lab", urgency::normal)),
              notRun(outcome_reason::queue_full));
    EXPECT_EQ(c.replyTo(c.submit(true, "lab", urgency::urgent)), std::nullopt);
    EXPECT_EQ(c.replyTo(newest), notRun(outcome_reason::displaced));
}

TEST(Admission, DisplacesRequestsForATeamBelowItsShareOfTheQueue)
{
    single_core c(1, 1, smallQueues());
    c.submit();
    caller_token newest = 0;
    for (int i = 0; i < 6; ++i)
        newest = c.submit(true, "lab", urgency::urgent);
    c.submit(true, "nobody");
    c.submit(true, "nobody"); // The queue is full.
    EXPECT_EQ(c.replyTo(c.submit(true, "yard")), std::nullopt);
    // Requests of the team without a quota are displaced first.
    EXPECT_EQ(c.replyTo(newest), std::nullopt);
    EXPECT_EQ(c.replyTo(c.submit(true, "yard")), std::nullopt);
    EXPECT_EQ(c.replyTo(c.submit(true, "yard")), std::nullopt);
    EXPECT_EQ(c.replyTo(newest), notRun(outcome_reason::displaced));
}

TEST(Admission, LimitsTheMemoryForPayloads)
{
    urgent_settings s = smallQueues();
    s.maxPayloadBytes = 20; // Fits two payloads of 7 bytes.
    single_core c(1, 1, s);
    c.submit();
    c.submit();
    EXPECT_EQ(c.replyTo(c.submit()), notRun(outcome_reason::memory_full));
}

RC_GTEST_PROP(AdmissionQueue, StaysConsistentAndBounded, (const std::vector<std::uint16_t> &steps))
{
    urgent_settings s = smallQueues();
    admission_queue queue(s);
    queue.configure({{team_id{"a"}, 1}, {team_id{"b"}, 2}, {team_id{"c"}, 4}});
    request_key last = 0;
    instant now;
    std::map<request_key, std::pair<std::size_t, std::size_t>> held; // Team and payload size.
    for (std::uint16_t step : steps) {
        now += duration(1ms);
        const std::size_t team = step % 4;
        const std::size_t bytes = step / 8 % 40;
        const auto level = step / 4 % 2 == 0 ? urgency::urgent : urgency::normal;
        if (step % 3 != 0) {
            std::vector<request_key> displaced;
            if (!queue.admit(0, team, level, ++last, bytes, &displaced))
                held[last] = {team, bytes};
            for (request_key key : displaced)
                RC_ASSERT(held.erase(key) == 1U);
        } else if (const auto key = queue.next(0, now, {4, 2, 50ms})) {
            for (urgency l : {urgency::urgent, urgency::normal})
                queue.remove(0, held.at(*key).first, l, *key);
            queue.releaseBytes(held.at(*key).first, held.at(*key).second);
            held.erase(*key);
        }
        std::vector<std::string> violations;
        queue.checkInvariants(&violations);
        RC_ASSERT(violations.empty());
        RC_ASSERT(queue.queued() == held.size());
        RC_ASSERT(queue.queued() <= s.maxQueued);
        RC_ASSERT(queue.payloadBytes() <= s.maxPayloadBytes);
    }
}
