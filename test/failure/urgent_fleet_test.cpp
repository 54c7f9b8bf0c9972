// Guards against wrong outcomes, repeated execution of unrepeatable requests, answers to other
// requests, dispatches to leaving runners, exceeded slots and interrupted requests. The faults are
// lost, duplicated and reordered messages, and crashes, pauses and drains of hosts.

#include "urgent_fleet_impl.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;

namespace {

fleet_settings makeSettings(std::uint64_t seed, const std::vector<std::uint32_t> &faults)
{
    fleet_settings s;
    s.seed = seed;
    for (std::uint32_t f : faults)
        s.faults.push_back({fleet_fault::kind(f % 12),
                            duration(std::int64_t((f / 12) % 15'000) * 1000), (f / 180'000) % 64});
    return s;
}

void checkRun(const fleet_settings &settings)
{
    fleet f(settings);
    const auto violations = f.run();
    RC_LOG() << "seed " << settings.seed << ": "
             << (violations.empty() ? std::string() : violations.front()) << std::endl;
    RC_ASSERT(violations.empty());
}

rc::Gen<std::uint64_t> anySeed()
{
    return rc::gen::inRange<std::uint64_t>(0, 1'000'000'000);
}

rc::Gen<std::vector<std::uint32_t>> anyFaults()
{
    return rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 12 * 15'000 * 64));
}

} // namespace

RC_GTEST_PROP(UrgentFleet, KeepsTheInvariantsUnderFaults, ())
{
    fleet_settings s = makeSettings(*anySeed(), *anyFaults());
    s.lossPercent = *rc::gen::inRange(0, 20);
    s.duplicatePercent = *rc::gen::inRange(0, 30);
    checkRun(s);
}

RC_GTEST_PROP(UrgentFleet, KeepsTheInvariantsUnderOverload, ())
{
    fleet_settings s = makeSettings(*anySeed(), *anyFaults());
    s.requests = 400;
    s.arrivals = 4s;
    checkRun(s);
}

TEST(UrgentFleet, AnswersMostRequestsWithoutFaults)
{
    fleet_settings s;
    s.seed = 1;
    s.lossPercent = 0;
    s.duplicatePercent = 0;
    fleet f(s);
    EXPECT_EQ(f.run(), std::vector<std::string>());
    EXPECT_GT(f.answered(), 100);
}

TEST(UrgentFleet, IsDeterministicForASeed)
{
    fleet_settings s = makeSettings(5, {36'000, 1'200'009, 5'400'033, 9'000'101});
    s.requests = 300;
    fleet first(s);
    fleet second(s);
    EXPECT_EQ(first.run(), second.run());
    EXPECT_EQ(first.executions(), second.executions());
    EXPECT_EQ(first.answered(), second.answered());
}
