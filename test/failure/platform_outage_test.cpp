// Guards against a system that stops serving, loses outcomes or reports wrong ones while parts of
// the platform are down, slow, lossy or leaving. Runs real processes on loopback.

#include "standin/site_calls.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::standin;
using json = nlohmann::json;

TEST(PlatformOutage, RunningJobSurvivesStoreOutageLongerThanTheLease)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    // The job runs longer than the store lease of 5 s, so that the lease expires while it runs.
    ASSERT_TRUE(submitJob(s, s.host(0).callers, "certificate-1", 9000)) << s.failure();
    ASSERT_TRUE(s.waitFor([&] { return s.get(s.workers(0), "/stats")["all"]["running"] == 1; }));
    s.control(s.store(), {{"down", true}});
    EXPECT_TRUE(s.waitFor([&] { return s.get(s.workers(0), "/stats")["all"]["done"] == 1; }));

    for (std::size_t i = 0; i < s.hostCount(); ++i) {
        const http_result result
            = s.call(s.host(i).callers, "POST", "/v1/requests", requestBody("", true, "x"));
        EXPECT_EQ(outcomeIn(result), "answered") << result.body;
    }
    const json job = {{"team", "lab"}, {"name", "refused"}, {"kind", "finite"},
                      {"cores", 1},    {"memory_mb", 100},  {"run_ms", 100}};
    EXPECT_GE(s.call(s.host(0).callers, "POST", "/v1/jobs", job.dump()).status, 500);

    s.control(s.store(), {{"down", false}});
    EXPECT_TRUE(
        s.waitFor([&] { return jobState(s, s.host(0).callers, "certificate-1") == "done"; }));
    EXPECT_EQ(violationsIn(s, 0), "");
    EXPECT_EQ(s.get(s.workers(0), "/stats")["all"]["lease_expired"], 0);
}

TEST(PlatformOutage, LostStoreAnswersCauseNoDuplicateRuns)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    s.control(s.store(), {{"lose_answers_percent", 30}});
    constexpr int jobCount = 8;
    for (int i = 0; i < jobCount; ++i)
        ASSERT_TRUE(submitJob(s, s.host(0).callers, "build-" + std::to_string(i), 300))
            << s.failure();
    for (int i = 0; i < jobCount; ++i) {
        const std::string name = "build-" + std::to_string(i);
        EXPECT_TRUE(s.waitFor([&] { return jobState(s, s.host(0).callers, name) == "done"; }));
    }
    EXPECT_EQ(violationsIn(s, 0), "");
    EXPECT_EQ(s.get(s.workers(0), "/stats")["all"]["done"], jobCount);
}

TEST(PlatformOutage, LeavingRunnerGetsNoFurtherWork)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    s.control(s.runners(0), {{"leaving", true}});
    ASSERT_TRUE(s.publishHosts());
    const auto isSeenLeaving = [&s](std::size_t host) {
        return s.get(s.host(host).callers, "/v1/status")["requests"]["leaving_runners"] == 1;
    };
    ASSERT_TRUE(s.waitFor([&] { return isSeenLeaving(0) && isSeenLeaving(1); }));
    const auto arrivedAtLeaving
        = [&s] { return s.get(s.runners(0), "/stats")["runners"][0]["arrived"].get<int>(); };
    const int before = arrivedAtLeaving();
    for (int i = 0; i < 20; ++i) {
        const http_result result = s.call(s.host(std::size_t(i) % 2).callers, "POST",
                                          "/v1/requests", requestBody("", true, "x"));
        EXPECT_EQ(outcomeIn(result), "answered") << result.body;
    }
    EXPECT_EQ(arrivedAtLeaving(), before);
}

TEST(PlatformOutage, TruncatedAnswerIsReportedAsUnknownOutcome)
{
    site_settings settings;
    settings.runnerFlags = {"--truncate-percent", "100"};
    site s(settings);
    ASSERT_TRUE(s.start()) << s.failure();
    const std::string id = newRequestId(s, s.host(0).callers);
    const http_result result
        = s.call(s.host(0).callers, "POST", "/v1/requests", requestBody(id, false, "sale"));
    EXPECT_EQ(outcomeIn(result), "unknown") << result.body;
    EXPECT_EQ(runsOf(s, 0, id), 1);
}
