// Checks the stand-ins for runners and the host list. Failures guarded against: more requests run
// concurrently than there are slots, requests start after their deadline, counters miss a request
// that ran twice, and changes of the host list become visible too early.

#include "standin/hosts_model.h"
#include "standin/runner_model.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::standin;

namespace {

instant at(int ms)
{
    return instant{} + std::chrono::milliseconds(ms);
}

runner_settings fixedSettings()
{
    runner_settings s;
    s.name = "runner-1";
    s.slots = 2;
    s.connections = 4;
    s.serviceMs = 10;
    s.distribution = service_distribution::fixed;
    return s;
}

} // namespace

TEST(StandinRunner, RunsAtMostOneRequestPerSlot)
{
    request_audit audit;
    runner_model runner(fixedSettings(), 1, audit);
    for (std::uint64_t i = 1; i <= 5; ++i)
        runner.arrive(at(0), i, "a.1." + std::to_string(i), at(1000));
    // The fifth request exceeds the 4 connections and is refused immediately.
    auto finished = runner.advance(at(0));
    ASSERT_EQ(finished.size(), 1u);
    EXPECT_EQ(finished[0].token, 5u);
    EXPECT_EQ(finished[0].end, request_completion::refused);
    EXPECT_EQ(audit.runs("a.1.5"), 0);
    EXPECT_EQ(runner.advance(at(10)).size(), 2u);
    EXPECT_EQ(runner.advance(at(20)).size(), 2u);
    EXPECT_EQ(runner.stats()["highest_concurrent"], 4);
}

TEST(StandinRunner, RefusesRequestsPastTheirDeadline)
{
    request_audit audit;
    runner_model runner(fixedSettings(), 1, audit);
    runner.arrive(at(0), 1, "a", at(1000));
    runner.arrive(at(0), 2, "b", at(1000));
    runner.arrive(at(0), 3, "c", at(10));
    const auto finished = runner.advance(at(10));
    ASSERT_EQ(finished.size(), 3u);
    EXPECT_EQ(finished[1].token, 3u);
    EXPECT_EQ(finished[1].end, request_completion::refused);
    EXPECT_EQ(audit.runs("c"), 0);
}

TEST(StandinRunner, CountsRequestsThatRunTwice)
{
    request_audit audit;
    runner_model first(fixedSettings(), 1, audit);
    runner_model second(fixedSettings(), 2, audit);
    first.arrive(at(0), 1, "a", at(1000));
    second.arrive(at(5), 2, "a", at(1000), true);
    first.arrive(at(0), 3, "b", at(1000));
    const nlohmann::json summary = audit.summary();
    EXPECT_EQ(summary["run_more_than_once"], 1);
    EXPECT_EQ(summary["highest_concurrent_runs"], 2);
    EXPECT_EQ(summary["repeated"][0], "a");
    EXPECT_EQ(summary["unrepeatable_run_more_than_once"], 1);
}

TEST(StandinRunner, CountsArrivalsAfterLeaving)
{
    request_audit audit;
    runner_model runner(fixedSettings(), 1, audit);
    runner.leave(at(0));
    runner.arrive(at(3000), 1, "a", at(9000));
    runner.arrive(at(3001), 2, "b", at(9000));
    EXPECT_EQ(runner.stats()["arrived_after_leaving"], 1);
}

TEST(StandinRunner, SeedDeterminesFaults)
{
    runner_settings s = fixedSettings();
    s.truncatePercent = 50;
    s.slots = 100;
    s.connections = 100;
    const auto ends = [&s](std::uint64_t seed) {
        request_audit audit;
        runner_model runner(s, seed, audit);
        for (std::uint64_t i = 0; i < 64; ++i)
            runner.arrive(at(0), i, std::to_string(i), at(1000));
        std::string text;
        for (const completed_request &f : runner.advance(at(10)))
            text += f.end == request_completion::truncated ? 't' : 'a';
        return text;
    };
    EXPECT_EQ(ends(3), ends(3));
    EXPECT_NE(ends(3), ends(4));
    EXPECT_NE(ends(3).find('t'), std::string::npos);
}

TEST(StandinHosts, ShowsChangesOnlyAfterTheLag)
{
    hosts_model hosts(2s);
    EXPECT_EQ(hosts.update(at(0), R"({"hosts":[{"name":"a","state":"live"}]})", false), "");
    EXPECT_EQ(hosts.update(at(1000), R"({"hosts":[{"name":"a","state":"leaving"}]})", true), "");
    EXPECT_EQ(hosts.list(at(2999))["hosts"][0]["state"], "live");
    EXPECT_EQ(hosts.list(at(3000))["hosts"][0]["state"], "leaving");
    EXPECT_NE(hosts.update(at(0), "[]", false), "");
}
