// Guards against requests and jobs that are lost, run twice or are aborted when an entry host is
// killed, paused or stopped. Uses real processes on loopback; the stand-ins check the invariants.

#include "standin/site_calls.h"

#include "batch/batch.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::standin;

namespace {

/// A service time that leaves time to kill a process while a request runs, and that is below the
/// dispatch limit.
const std::vector<std::string> slowRunners = {"--service-ms", "1500", "--distribution", "fixed"};

bool isAnyRequestRunning(site &s)
{
    const nlohmann::json stats = s.get(s.runners(0), "/stats");
    for (const auto &runner : stats["runners"]) {
        if (runner["running"] != 0)
            return true;
    }
    return false;
}

bool isDone(site &s, std::size_t host, const std::string &name)
{
    return jobState(s, s.host(host).callers, name) == "done";
}

/// Returns the shard that the job belongs to, as every host computes it.
int shardOf(const std::string &name)
{
    constexpr int shards = 2;
    return shardOfJob(job_id{team_id{"lab"}, name}, shards);
}

} // namespace

TEST(ProcessDeath, UnrepeatableRequestWhoseHomeIsKilledIsUnknownAndNotRunAgain)
{
    site_settings settings;
    settings.runnerFlags = slowRunners;
    site s(settings);
    ASSERT_TRUE(s.start()) << s.failure();
    const std::string id = newRequestId(s, s.host(0).callers);
    const std::string body = requestBody(id, false, "sale");
    http_result first;
    bool hasFirst = false;
    s.send(s.host(1).callers, "POST", "/v1/requests", body, [&](const http_result &result) {
        first = result;
        hasFirst = true;
    });
    ASSERT_TRUE(s.waitFor([&] { return isAnyRequestRunning(s); }));
    s.host(0).process->signal(SIGKILL);
    s.host(0).process->wait();
    ASSERT_TRUE(s.waitFor([&] { return hasFirst; }));
    EXPECT_EQ(outcomeIn(first), "unknown") << first.body;

    ASSERT_TRUE(s.startHost(0)) << s.failure();
    ASSERT_TRUE(s.waitFor([&] { return s.isReady(0); }));
    for (std::size_t host : {0, 1}) {
        const http_result again = s.call(s.host(host).callers, "POST", "/v1/requests", body);
        EXPECT_EQ(outcomeIn(again), "unknown") << again.body;
    }
    EXPECT_EQ(runsOf(s, 0, id), 1);
}

TEST(ProcessDeath, GracefulShutdownCompletesRequestsInFlight)
{
    site_settings settings;
    settings.runnerFlags = slowRunners;
    site s(settings);
    ASSERT_TRUE(s.start()) << s.failure();
    // Equals the client's number of connections. Further requests would be queued in the client and
    // arrive after the drain delay, when the host refuses new requests.
    constexpr int requestCount = 8;
    int answered = 0;
    int others = 0;
    for (int i = 0; i < requestCount; ++i) {
        s.send(s.host(0).callers, "POST", "/v1/requests", requestBody("", true, std::to_string(i)),
               [&](const http_result &result) { ++(result.status == 200 ? answered : others); });
    }
    ASSERT_TRUE(s.waitFor([&] { return isAnyRequestRunning(s); }));
    s.host(0).process->signal(SIGTERM);
    EXPECT_TRUE(s.waitFor([&] { return answered + others == requestCount; }));
    EXPECT_EQ(answered, requestCount);
    EXPECT_EQ(s.host(0).process->wait(), 0) << s.host(0).process->output();
    const http_result later
        = s.call(s.host(1).callers, "POST", "/v1/requests", requestBody("", true, "later"));
    EXPECT_EQ(later.status, 200) << later.body;
}

TEST(ProcessDeath, JobContinuesWhenTheOwnerOfItsShardIsKilled)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    ASSERT_TRUE(submitJob(s, s.host(0).callers, "certificate-1", 4000)) << s.failure();
    const std::size_t owner = s.ownerOf(shardOf("certificate-1"));
    ASSERT_LT(owner, s.hostCount());
    const std::size_t other = 1 - owner;
    s.host(owner).process->signal(SIGKILL);
    EXPECT_TRUE(s.waitFor([&] { return isDone(s, other, "certificate-1"); }));
    EXPECT_TRUE(submitJob(s, s.host(other).callers, "certificate-2", 200)) << s.failure();
    EXPECT_TRUE(s.waitFor([&] { return isDone(s, other, "certificate-2"); }));
    EXPECT_EQ(violationsIn(s, 0), "");
}

TEST(ProcessDeath, PausedOwnerStartsNoDuplicateRunWhenItResumes)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    ASSERT_TRUE(submitJob(s, s.host(0).callers, "certificate-1", 6000)) << s.failure();
    const int shard = shardOf("certificate-1");
    const std::size_t owner = s.ownerOf(shard);
    ASSERT_LT(owner, s.hostCount());
    const std::size_t other = 1 - owner;
    s.host(owner).process->signal(SIGSTOP);
    const bool isTakenOver = s.waitFor([&] { return s.ownerOf(shard) == other; });
    s.host(owner).process->signal(SIGCONT);
    ASSERT_TRUE(isTakenOver);
    EXPECT_TRUE(s.waitFor([&] { return isDone(s, other, "certificate-1"); }));
    EXPECT_TRUE(s.waitFor([&] { return isDone(s, owner, "certificate-1"); }));
    EXPECT_EQ(violationsIn(s, 0), "");
}

TEST(ProcessDeath, ColdRestartOfAllHostsLosesNoAcknowledgedJob)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    constexpr int jobCount = 8;
    for (int i = 0; i < jobCount; ++i)
        ASSERT_TRUE(submitJob(s, s.host(0).callers, "build-" + std::to_string(i), 1000))
            << s.failure();
    for (std::size_t i = 0; i < s.hostCount(); ++i)
        s.host(i).process->signal(SIGKILL);
    for (std::size_t i = 0; i < s.hostCount(); ++i) {
        s.host(i).process->wait();
        ASSERT_TRUE(s.startHost(i)) << s.failure();
    }
    for (int i = 0; i < jobCount; ++i)
        EXPECT_TRUE(s.waitFor([&] { return isDone(s, 0, "build-" + std::to_string(i)); }));
    EXPECT_EQ(violationsIn(s, 0), "");
}
