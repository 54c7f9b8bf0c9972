// Guards against jobs that are accepted although nobody will need their result any more, and
// against callers that are refused without need or return together.

#include "policy/policy.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

using namespace crocuswind;
using namespace crocuswind::policy;

namespace {

constexpr instant now{100s};

admission_request requestOf(duration usefulFor)
{
    admission_request request;
    request.usefulUntil = now + usefulFor;
    request.work = 1000;
    request.criticalPath = 2s;
    return request;
}

const admission_forecast tenSecondsBehind{now, 1, 10000, true};

} // namespace

TEST(Admission, RefusesWhatEndsTooLateUntilTheBacklogIsShortEnough)
{
    const auto decision = decideAdmission(requestOf(9s), tenSecondsBehind);
    EXPECT_FALSE(decision.isAccepted);
    EXPECT_EQ(decision.expectedEnd, now + 13s);
    EXPECT_EQ(decision.retryAt, now + 4s);
    EXPECT_TRUE(decideAdmission(requestOf(13s), tenSecondsBehind).isAccepted);
}

TEST(Admission, NeverRefusesTheEarliestPriorityNorContinuousJobsNorWithoutKnowledge)
{
    admission_request earliest = requestOf(1s);
    earliest.isOfEarliestPriority = true;
    EXPECT_TRUE(decideAdmission(earliest, tenSecondsBehind).isAccepted);
    admission_request continuous = requestOf(1s);
    continuous.isContinuous = true;
    EXPECT_TRUE(decideAdmission(continuous, tenSecondsBehind).isAccepted);
    admission_forecast unknown = tenSecondsBehind;
    unknown.isKnown = false;
    EXPECT_TRUE(decideAdmission(requestOf(1s), unknown).isAccepted);
}

TEST(Admission, WithoutRoomTheDelayIsLongButFinite)
{
    const auto decision = decideAdmission(requestOf(9s), {now, 0, 10000, true});
    EXPECT_FALSE(decision.isAccepted);
    EXPECT_LE(decision.retryAt, now + 600s);
}

TEST(RetrySpread, SpreadsCallersEvenlyAndRepeatably)
{
    std::map<std::int64_t, int> callers;
    for (int i = 0; i < 1000; ++i) {
        const std::string name = "job-" + std::to_string(i);
        ++callers[spreadRetrySeconds(4s, name)];
        EXPECT_EQ(spreadRetrySeconds(4s, name), spreadRetrySeconds(4s, name));
    }
    EXPECT_EQ(callers.begin()->first, 4);
    EXPECT_EQ(callers.rbegin()->first, 8);
    for (const auto &[seconds, count] : callers)
        EXPECT_LT(count, 300) << seconds;
    EXPECT_GE(spreadRetrySeconds(0s, "a"), 1);
}

TEST(RoomRate, LearnsTheErrorOfEstimatesAndForgetsIt)
{
    room_rate rate(now);
    EXPECT_EQ(rate.efficiency(), 1);
    for (int i = 0; i < 100; ++i)
        rate.recordEnd(now + i * 100ms, 8000, 2s, 1000, true);
    EXPECT_NEAR(rate.efficiency(), 0.5, 0.02);
    for (int i = 0; i < 300; ++i)
        rate.recordEnd(now + 10s + i * 100ms, 8000, 1s, 1000, true);
    EXPECT_NEAR(rate.efficiency(), 1, 0.02);
}

TEST(RoomRate, CountsRunsThatWereLostAsRoomWithoutWork)
{
    room_rate rate(now);
    for (int i = 0; i < 100; ++i)
        rate.recordEnd(now + i * 100ms, 8000, 1s, 1000, i % 2 == 0);
    EXPECT_NEAR(rate.efficiency(), 0.5, 0.03);
}

TEST(RoomRate, MeasuresWhatIsAccepted)
{
    room_rate rate(now);
    for (int i = 1; i <= 200; ++i)
        rate.recordAccepted(now + i * 100ms, 100 * 3000);
    EXPECT_NEAR(rate.acceptedMilliCores(now + 20s), 3000, 100);
    EXPECT_LT(rate.acceptedMilliCores(now + 30s), 500);
}
