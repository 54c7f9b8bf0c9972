// Guards against leases of silent workers that are taken for lapsed too early, because the clocks
// of the writer of the list, of its reader and of the worker that dates it run at different rates.

#include "scheduler/former_list.h"
#include "scheduler/worker_record.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// A clock with an origin and a rate of its own.
struct odd_clock
{
    instant origin;
    double rate = 1;

    instant at(duration trueTime) const
    {
        const std::chrono::duration<double, std::milli> ms = trueTime;
        return origin + std::chrono::microseconds(std::int64_t(ms.count() * 1000 * rate));
    }

    std::int64_t msAt(duration trueTime) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   at(trueTime).time_since_epoch())
            .count();
    }
};

struct dated_list : testing::Test
{
    duration upTo(std::uint64_t ms) { return random.below(1000 * ms + 1) * 1us; }

    odd_clock makeClock(double slowest, double fastest)
    {
        return {instant(upTo(100000000)), slowest + (fastest - slowest) * random.fraction()};
    }

    seeded_random random{44};
};

const worker_id witness{"w0"};
const worker_id silent{"w1"};

worker_list makeList(std::int64_t clockMs)
{
    worker_list list;
    list.silent = {{silent, 3, 6000}};
    list.witnesses = {{witness, 17, clockMs}};
    return list;
}

} // namespace

TEST_F(dated_list, IsNeverDatedBeforeItWasWritten)
{
    for (int i = 0; i < 20000; ++i) {
        const odd_clock writer = makeClock(0.99, 1.01);
        const odd_clock reader = makeClock(0.99, 1.01);
        const odd_clock worker = makeClock(0.975, 1);
        const std::uint64_t maxDelayMs = i % 2 == 0 ? 1500 : 2;
        const std::uint64_t maxAgeMs = i % 3 == 0 ? 20 : 60000;
        duration t = 10s;
        clock_ceiling ceiling;
        for (int poll = 0; poll < 4; ++poll) {
            const duration sent = t;
            const duration read = sent + upTo(maxDelayMs);
            t = read + upTo(maxDelayMs);
            ceiling.record(worker.msAt(read), writer.at(sent), writer.at(t));
            t += upTo(poll == 3 ? maxAgeMs : maxAgeMs / 10);
        }
        const duration writtenAt = t;
        ASSERT_GE(*ceiling.at(writer.at(writtenAt)), worker.msAt(writtenAt)) << i;
        former_list list(makeList(*ceiling.at(writer.at(writtenAt))), instant::max());
        for (int poll = 0; poll < 3; ++poll) {
            const duration read = t + upTo(maxAgeMs / 5);
            t = read + upTo(maxDelayMs);
            list.noteClock(witness, 17, worker.msAt(read), reader.at(t));
        }
        ASSERT_GE(list.writtenBy(), reader.at(writtenAt)) << i;
    }
}

TEST_F(dated_list, IsDatedWithinTheDelaysOfTheTwoReadings)
{
    clock_ceiling ceiling;
    ceiling.record(5000, instant(100s), instant(100s + 10ms));
    EXPECT_EQ(ceiling.at(instant(101s)), 5001 + 1020);
    former_list list(makeList(6020), instant(204s));
    EXPECT_TRUE(list.isUndated());
    EXPECT_TRUE(list.noteClock(witness, 17, 9080, instant(204s)));
    EXPECT_FALSE(list.isUndated());
    EXPECT_EQ(list.writtenBy(), instant(201s));
    EXPECT_EQ(list.lapseOf(*list.find(silent)), instant(207s));
}

// The ceiling of a reading that took long is higher than that of an earlier one.
TEST_F(dated_list, KeepsTheLowestCeilingOfAClock)
{
    clock_ceiling ceiling;
    EXPECT_EQ(ceiling.at(instant(100s)), std::nullopt);
    ceiling.record(5000, instant(100s), instant(100s));
    ceiling.record(5010, instant(100s), instant(101s));
    EXPECT_EQ(ceiling.at(instant(101s)), 6021);
    ceiling.record(5990, instant(101s), instant(101s));
    EXPECT_EQ(ceiling.at(instant(101s)), 5991);
}

TEST_F(dated_list, IsNotDatedByTheClockOfAnotherLife)
{
    former_list list(makeList(6020), instant(204s));
    EXPECT_FALSE(list.noteClock(witness, 18, 9080, instant(204s)));
    EXPECT_FALSE(list.noteClock(silent, 17, 9080, instant(204s)));
    EXPECT_TRUE(list.isUndated());
    EXPECT_EQ(list.writtenBy(), instant(204s));
}

TEST_F(dated_list, IsDatedByTheBestOfItsWitnesses)
{
    worker_list stored = makeList(6020);
    stored.witnesses.push_back({{"w2"}, 18, 2000});
    former_list list(stored, instant(204s));
    EXPECT_FALSE(list.noteClock(witness, 17, 5000, instant(204s)));
    EXPECT_TRUE(list.noteClock({"w2"}, 18, 3020, instant(204s)));
    EXPECT_FALSE(list.noteClock(witness, 17, 6530, instant(204s)));
    EXPECT_EQ(list.writtenBy(), instant(203s));
}
