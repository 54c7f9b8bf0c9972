// Guards against platform bodies with changed bytes, deep nesting or huge numbers that crash a host
// or are accepted with unusable values.

#include "fuzz/io_mutation.h"
#include "platform/wire_bodies.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::platform;
using namespace crocuswind::scheduler;

namespace {

constexpr int rounds = 6000;

const std::string bodies[] = {
    R"({"service":"pool","address":"10.0.0.9:8080","zone":"a","slots":8,"state":"ready",)"
    R"("capacity":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],"born":17})",
    R"({"clockMs":9,"born":3,"running":[["a.0.0.1",2,"s",41,7]],"ended":[[58,"a.0.1.9",1,"done",""]]})",
    R"({"items":[{"key":"servers/a","value":"e30=","revision":5,"createdRev":5,"lease":0},)"
    R"({"key":"servers/b","value":"e30=","revision":6}],"hasMore":true,"currentRev":9})",
    R"({"events":[{"key":"servers/a","revision":5,"tombstone":true},{"key":"b","value":"e30="}],)"
    R"("currentRev":9})",
    R"({"version":7,"routes":[{"host":"h","prefix":"/p/","service":"s","maxAttempts":3,)"
    R"("stretch":2.5,"priority":1,"timeoutMs":3000,"targetLatencyMs":5}],"limits":{}})",
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900},)"
    R"({"count":2,"after":[0],"antiAffinity":1,"targetMs":18,"mayMiss":1}],"repetitions":2,)"
    R"("startAtMs":1700000000000,"intervalMs":5})",
    R"({"lease":7,"ttlMs":1000})",
};

const char *const oddValues[] = {"1e400",
                                 "1e300",
                                 "-1e300",
                                 "9223372036854775807",
                                 "9223372036854775808",
                                 "18446744073709551615",
                                 "-9223372036854775808",
                                 "4294967296",
                                 "-1",
                                 "0",
                                 "1.5",
                                 "null",
                                 "true",
                                 "\"\"",
                                 "[]",
                                 "{}"};

// Replaces all or part of a number by an odd value or by deeply nested arrays.
std::string withOddValue(std::string body, random_source &random)
{
    const std::size_t from = body.find_first_of("0123456789", random.below(body.size()));
    if (from == std::string::npos)
        return body;
    const std::size_t end = body.find_first_not_of("0123456789", from);
    const std::size_t depth = random.below(3) == 0 ? random.below(2000) : 0;
    const std::string odd = depth > 0 ? std::string(depth, '[') + std::string(depth, ']')
                                      : oddValues[random.below(std::size(oddValues))];
    return body.replace(from, end - from, odd);
}

void expectUsable(const listed_worker &worker)
{
    EXPECT_NE(worker.address.port, 0);
    EXPECT_FALSE(worker.info.service.empty());
    EXPECT_GE(worker.info.capacity.milliCores, 0);
    EXPECT_GE(worker.info.capacity.memoryMb, 0);
    EXPECT_GE(worker.info.capacity.accelerators, 0);
    EXPECT_GE(worker.info.incarnationStartUnixMs, 0);
}

int readAll(const std::string &body)
{
    int accepted = 0;
    if (const auto worker = parseListedWorker("i-1", body)) {
        expectUsable(*worker);
        ++accepted;
    }
    if (const auto spec = parseJobBody(body, {"0123456789abcdef"}, {"queue"})) {
        EXPECT_TRUE(checkJob(*spec, "").empty());
        computeCriticalPathsMs(*spec);
        ++accepted;
    }
    accepted += parseConfiguration(body) ? 1 : 0;
    accepted += parsePollAnswer(200, body).outcome == command_outcome::done ? 1 : 0;
    parseCommandAnswer(200, body);
    accepted += parseItem(body) ? 1 : 0;
    accepted += parseRangePage(body) ? 1 : 0;
    parseTransactionAnswer(true, body);
    parseLeaseAnswer(body);
    accepted += parseWatchPage(body) ? 1 : 0;
    return accepted;
}

} // namespace

TEST(PlatformFuzz, ParsersSurviveMutatedBodies)
{
    seeded_random random(20261204);
    int accepted = 0;
    for (int i = 0; i < rounds; ++i)
        accepted += readAll(mutate(bodies[random.below(std::size(bodies))], random));
    EXPECT_GT(accepted, 0); // Some mutated bodies stay valid, so acceptance is covered too.
}

TEST(PlatformFuzz, ParsersSurviveOddValues)
{
    seeded_random random(20261205);
    int accepted = 0;
    for (int i = 0; i < rounds; ++i) {
        std::string body = withOddValue(bodies[random.below(std::size(bodies))], random);
        if (random.below(2) == 0)
            body = withOddValue(body, random);
        accepted += readAll(body);
    }
    EXPECT_GT(accepted, 0);
}
