// Guards against sync bodies that change when they are encoded to JSON and parsed, and against
// malformed or oversized bodies of a faulty worker being accepted as reports.

#include "protocol/protocol.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;

namespace {

task_id randomTask(random_source &random)
{
    return {{team_id{"lab"}, "cert-" + std::to_string(random.below(1000))},
            int(random.below(4)),
            int(random.below(1000))};
}

sync_request randomRequest(std::uint64_t seed)
{
    seeded_random random(seed);
    sync_request r{{data_centre_id{"dakar-1"}, int(random.below(8))},
                   std::int64_t(random.next() >> 1),
                   std::int64_t(random.below(100)),
                   std::int64_t(random.below(100)),
                   15000,
                   {},
                   {},
                   {},
                   {},
                   {}};
    for (std::uint64_t i = random.below(4); i > 0; --i) {
        r.start.push_back({randomTask(random),
                           {std::int64_t(random.below(64000)), 2048, 1},
                           5000,
                           {std::int64_t(random.below(5)), "saved \"here\"\n"},
                           "{\"a\":1}"});
        r.stop.push_back(randomTask(random));
        r.checkpoint.push_back(randomTask(random));
        r.throttle.push_back({randomTask(random), int(random.below(1001))});
        r.forget.push_back(randomTask(random));
    }
    return r;
}

} // namespace

RC_GTEST_PROP(SyncRequest, RoundTripsThroughJson, (std::uint64_t seed))
{
    const sync_request request = randomRequest(seed);
    const auto parsed = parseSyncRequest(encodeSyncRequest(request));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == request);
}

RC_GTEST_PROP(SyncReport, RoundTripsThroughJson, (std::uint64_t seed))
{
    seeded_random random(seed);
    sync_report report{worker_id{"worker-7"}, std::int64_t(random.next() >> 1), 7, 9, {}};
    for (std::uint64_t i = random.below(5); i > 0; --i) {
        task_report task{randomTask(random),
                         reported_state(random.below(4)),
                         {std::int64_t(random.below(5)), "c"},
                         std::nullopt,
                         "ok"};
        if (random.below(2) == 0)
            task.usage = task_usage{std::int64_t(random.below(9999)), 12, 1100, 3000};
        report.tasks.push_back(task);
    }
    const auto parsed = parseSyncReport(encodeSyncReport(report));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == report);
}

RC_GTEST_PROP(SyncReport, ParsingDamagedBodiesDoesNotThrow, (std::uint64_t seed))
{
    seeded_random random(seed);
    std::string body = encodeSyncRequest(randomRequest(seed));
    for (std::uint64_t i = random.below(6); i > 0; --i)
        body[random.below(body.size())] = char(random.below(256));
    body.resize(body.size() - random.below(body.size()));
    (void)parseSyncRequest(body);
    (void)parseSyncReport(body);
    (void)parseStaleEpoch(body);
}

TEST(SyncReport, ReportsEveryErrorWithItsPath)
{
    const auto parsed = parseSyncReport(
        R"({"worker":"w","incarnation":-1,"epoch":1,"sequence":1,
            "tasks":[{"task":{"job":"lab","replica":0,"attempt":1.5},"state":"asleep"}]})");
    ASSERT_FALSE(parsed.has_value());
    std::vector<std::string> places;
    for (const finding &f : parsed.error())
        places.push_back(f.place.source);
    EXPECT_EQ(places,
              (std::vector<std::string>{"incarnation", "tasks[0].task.job", "tasks[0].task.attempt",
                                        "tasks[0].state"}));
}

TEST(SyncReport, RejectsTooLargeAndTooDeepBodies)
{
    EXPECT_FALSE(parseSyncReport(std::string(1024 * 1024 + 1, ' ')));
    EXPECT_FALSE(parseSyncReport(std::string(100000, '[')));
    EXPECT_FALSE(parseStaleEpoch(R"({"epoch":"7"})"));
    EXPECT_EQ(parseStaleEpoch(encodeStaleEpoch(7)), 7);
}
