// Guards against bodies, of the platform or of other programs, that are misread or crash a host.

#include "platform/wire_bodies.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;
using namespace crocuswind::platform;
using namespace crocuswind::scheduler;

namespace {

const char *const workerEntry
    = R"({"service":"pool","address":"10.0.0.9:8080","zone":"a","slots":8,"state":"ready",)"
      R"("capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],"born":17,"new":1})";

} // namespace

TEST(JobBody, IsReadFieldByField)
{
    const auto spec = parseJobBody(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900},)"
        R"({"count":2,"after":[0],"checkpoint":true,"affinity":"r1-3","antiAffinity":1,)"
        R"("requirements":"fast","longRunning":true,"image":"x","targetMs":18,"fills":true,)"
        R"("mayMiss":1,"unknown":{}}]})",
        {"0123456789abcdef"}, {"queue"});
    ASSERT_TRUE(spec.has_value());
    EXPECT_EQ(spec->payload, "text");
    ASSERT_EQ(spec->steps.size(), 2u);
    EXPECT_EQ(spec->steps[0].size, (resources{500, 256, 0}));
    EXPECT_EQ(spec->steps[1].after, std::vector<int>{0});
    EXPECT_EQ(spec->steps[1].dataRack.value, "r1-3");
    EXPECT_EQ(spec->steps[1].requiredLabel, "fast");
    EXPECT_EQ(spec->steps[1].latencyTargetMs, 18);
    EXPECT_TRUE(spec->steps[1].isBestEffort);
    EXPECT_EQ(spec->steps[1].maxPerWorker, 1);
}

TEST(JobBody, MistakesAreFindings)
{
    for (const char *body :
         {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
          R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":1,"after":["x"]}]})",
          R"({"steps":[7]})", R"({"steps":[{"count":1,"cpu":-5}]})"}) {
        const auto spec = parseJobBody(body, {"0123456789abcdef"}, {"queue"});
        ASSERT_FALSE(spec.has_value()) << body;
        EXPECT_FALSE(spec.error().empty()) << body;
    }
}

TEST(JobBody, TooManyTasksAreAFinding)
{
    const char *const body = R"({"steps":[{"count":2000,"longRunning":true}],"repetitions":11})";
    const auto spec = parseJobBody(body, {"0123456789abcdef"}, {"queue"});
    ASSERT_FALSE(spec.has_value());
    EXPECT_NE(toString(spec.error()).find("22000 tasks"), std::string::npos);
}

TEST(WorkerEntry, OfAnotherProgramIsNotAWorker)
{
    EXPECT_TRUE(parseListedWorker("i-1", workerEntry).has_value());
    for (const char *body :
         {"", "null", "{}", "\xff\xfe", R"({"service":"pool","address":"10.0.0.9:8080"})",
          R"({"service":7,"address":"10.0.0.9:8080","state":"ready","capacity":{"cpu":1}})",
          R"({"service":"pool","address":"nowhere","state":"ready","capacity":{"cpu":1}})",
          R"({"service":"pool","address":"10.0.0.9:8080","state":"odd","capacity":{"cpu":1}})"})
        EXPECT_FALSE(parseListedWorker("i-1", body).has_value()) << body;
}

TEST(WorkerEntry, IsReadFieldByField)
{
    const auto worker = parseListedWorker("i-1", workerEntry);
    ASSERT_TRUE(worker.has_value());
    EXPECT_EQ(worker->info.capacity, (resources{16000, 32768, 1}));
    EXPECT_EQ(worker->info.rack.value, "r1-3");
    EXPECT_EQ(worker->info.incarnationStartUnixMs, 17);
    EXPECT_FALSE(worker->info.isDraining);
    EXPECT_EQ(toString(worker->address), "10.0.0.9:8080");
}

TEST(WorkerEntry, NamesTheLeaveTimeOfADrainingWorker)
{
    const auto leaveTime = [](const char *fields) {
        const std::string body = fmt::format(
            R"({{"service":"pool","address":"10.0.0.9:8080","zone":"a",{},)"
            R"("capacity":{{"cpu":16000,"memMb":32768,"gpu":0}},"labels":["a","r1-3"],"born":17}})",
            fields);
        const auto worker = parseListedWorker("i-1", body);
        EXPECT_TRUE(worker.has_value()) << body;
        return worker ? worker->info.leavesAtClockMs : std::nullopt;
    };
    EXPECT_EQ(leaveTime(R"("state":"draining","clockMs":7000,"remainingMs":900)"), 7900);
    EXPECT_EQ(leaveTime(R"("state":"draining","clockMs":7000)"), std::nullopt);
    EXPECT_EQ(leaveTime(R"("state":"draining","remainingMs":900)"), std::nullopt);
    EXPECT_EQ(leaveTime(R"("state":"draining","clockMs":"x","remainingMs":-1)"), std::nullopt);
    EXPECT_EQ(leaveTime(R"("state":"ready","clockMs":7000,"remainingMs":900)"), std::nullopt);
}

TEST(CommandAnswer, DistinguishesRefusalsFromUnknownOutcomes)
{
    EXPECT_EQ(parseCommandAnswer(200, R"({"clockMs":5})").outcome, command_outcome::done);
    EXPECT_EQ(parseCommandAnswer(409, R"({"reason":"fence"})").outcome,
              command_outcome::refused_stale_epoch);
    EXPECT_EQ(parseCommandAnswer(409, R"({"reason":"room"})").outcome,
              command_outcome::refused_no_capacity);
    EXPECT_EQ(parseCommandAnswer(421, "").outcome, command_outcome::other_incarnation);
    EXPECT_EQ(parseCommandAnswer(503, "").outcome, command_outcome::not_done);
    EXPECT_EQ(parseCommandAnswer(500, "").outcome, command_outcome::no_answer);
}

TEST(PollAnswer, SkipsRowsThatCannotBeRead)
{
    const poll_result result = parsePollAnswer(
        200,
        R"({"clockMs":9,"born":3,"running":[["a.0.0.1",2,"s",41,7],["odd"],7],)"
        R"("ended":[[58,"a.0.1.9",1,"done",""],[59,"odd name",1,"failed",""],["x"]]})");
    ASSERT_EQ(result.outcome, command_outcome::done);
    ASSERT_EQ(result.report.running.size(), 1u);
    EXPECT_EQ(result.report.running[0].measurement, 7);
    ASSERT_EQ(result.report.completedRuns.size(), 2u);
    EXPECT_EQ(result.report.completedRuns[1].number, 59);
    EXPECT_EQ(parsePollAnswer(200, "{}").outcome, command_outcome::no_answer);
}

// A worker lists 500 completions at a time. Whether it has more is not known until they are
// acknowledged.
TEST(PollAnswer, IsPartialIfTheListOfCompletionsIsFull)
{
    const auto reportOf = [](int completions) {
        std::string rows;
        for (int i = 1; i <= completions; ++i)
            rows += fmt::format(R"({}[{},"a.0.0.{}",1,"done",""])", i == 1 ? "" : ",", i, i);
        return parsePollAnswer(200, R"({"clockMs":9,"running":[],"ended":[)" + rows + "]}").report;
    };
    EXPECT_TRUE(reportOf(499).isWhole);
    EXPECT_FALSE(reportOf(500).isWhole);
}

TEST(Configuration, KeepsAQueueWhenItsRouteIsRenamed)
{
    const auto a = parseConfiguration(R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":)"
                                      R"("/p/","service":"s","maxAttempts":3,"stretch":2.5}]})");
    const auto b = parseConfiguration(
        R"({"version":9,"routes":[{"name":"r2","host":"h","prefix":"/p/","service":"s"}]})");
    ASSERT_TRUE(a && b);
    EXPECT_EQ(a->queues[0].policy.queue, b->queues[0].policy.queue);
    EXPECT_EQ(a->queues[0].policy.attemptLimit, 3);
    EXPECT_DOUBLE_EQ(a->queues[0].policy.stretch, 2.5);
    EXPECT_FALSE(parseConfiguration("{}").has_value());
    EXPECT_FALSE(parseConfiguration("junk").has_value());
}

RC_GTEST_PROP(WireBodies, AnyBytesAreParsedOrRejected, (const std::string &bytes))
{
    parseJobBody(bytes, {"0123456789abcdef"}, {"queue"});
    parseConfiguration(bytes);
    parseListedWorker("i-1", bytes);
    parseCommandAnswer(200, bytes);
    parsePollAnswer(200, bytes);
    parseItem(bytes);
    parseRangePage(bytes);
    parseTransactionAnswer(true, bytes);
    parseLeaseAnswer(bytes);
    parseWatchPage(bytes);
}
