// Guards against decisions that make all jobs late, or the same jobs wait for ever, when not all
// can be in time.

#include "policy/policy.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace crocuswind;
using namespace crocuswind::policy;

namespace {

constexpr instant now{100s};

/// Room for one unit of work a millisecond.
const triage_room room{now, 1, 0};

triage_job jobOf(double work, duration slack, int priority = 1)
{
    triage_job job;
    job.priority = priority;
    job.latestStart = now + slack;
    job.work = work;
    job.size = work;
    return job;
}

std::size_t countKept(const triage_decision &decision)
{
    return std::size_t(std::count(decision.isKept.begin(), decision.isKept.end(), true));
}

} // namespace

TEST(OverloadTriage, KeepsAllThatFit)
{
    const auto decision = triageOverload({jobOf(500, 1s), jobOf(500, 1s), jobOf(1000, 2s)}, room);
    EXPECT_EQ(decision.givenUp, 0U);
    EXPECT_EQ(decision.keptWork, 2000);
}

TEST(OverloadTriage, GivesUpTheJobThatMakesMostOthersLate)
{
    const auto decision
        = triageOverload({jobOf(900, 1s), jobOf(300, 1100ms), jobOf(300, 1200ms)}, room);
    EXPECT_EQ(decision.isKept, (std::vector<bool>{false, true, true}));
}

TEST(OverloadTriage, CountsTheWorkAhead)
{
    const auto decision = triageOverload({jobOf(500, 1s)}, {now, 1, 600});
    EXPECT_EQ(decision.givenUp, 1U);
}

TEST(OverloadTriage, GivesUpNoJobForOneOfALaterPriority)
{
    const auto decision = triageOverload({jobOf(900, 1s, 0), jobOf(200, 500ms, 1)}, room);
    EXPECT_EQ(decision.isKept, (std::vector<bool>{true, false}));
}

TEST(OverloadTriage, KeepsJobsThatHaveBegun)
{
    triage_job begun = jobOf(600, 1s);
    begun.hasBegun = true;
    const auto decision = triageOverload({begun, jobOf(500, 1s)}, room);
    EXPECT_EQ(decision.isKept, (std::vector<bool>{true, false}));
}

// A job that was given up returns only if it needs clearly less than one that would go for it.
TEST(OverloadTriage, DoesNotAlternateBetweenSimilarJobs)
{
    triage_job former = jobOf(500, 1s);
    former.wasGivenUp = true;
    EXPECT_EQ(triageOverload({former, jobOf(550, 1s)}, room).isKept,
              (std::vector<bool>{false, true}));
    EXPECT_EQ(triageOverload({former, jobOf(800, 1s)}, room).isKept,
              (std::vector<bool>{true, false}));
}

// Without the rule on sizes, only small jobs would ever be in time.
TEST(OverloadTriage, KeepsLargeJobsHalfAsOftenAsAll)
{
    std::vector<triage_job> jobs;
    for (int i = 0; i < 100; ++i)
        jobs.push_back(jobOf(i % 10 == 0 ? 500 : i % 10 < 3 ? 300 : 100, 8s));
    const auto decision = triageOverload(jobs, room);
    std::size_t largest = 0;
    for (std::size_t i = 0; i < jobs.size(); i += 10)
        largest += decision.isKept[i] ? 1 : 0;
    EXPECT_GT(decision.givenUp, 20U);
    EXPECT_GE(2 * largest * 10, countKept(decision));
}

TEST(OverloadTriage, GivesUpAllButTheEarliestWithoutRoom)
{
    EXPECT_EQ(countKept(triageOverload({jobOf(10, 1s), jobOf(20, 2s)}, {now, 0, 0})), 0U);
    EXPECT_EQ(triageOverload({}, room).givenUp, 0U);
}
