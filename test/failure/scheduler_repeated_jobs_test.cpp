// Guards against owners whose memory grows with the repetitions that jobs promise, and against
// occurrences that are lost, early or run twice when another host takes over.

#include "scheduler_departed_worker.h"
#include "standin/allocation_counter.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

using namespace crocuswind;
using namespace crocuswind::scheduler;
using nlohmann::json;

namespace {

constexpr int manyRepetitions = 1000;
constexpr int tasksOfOccurrence = 100;
constexpr std::size_t maxBytesOfJob = 1'000'000;
constexpr int jobsOfHost = 200;
constexpr std::size_t maxBytesOfHost = 160'000'000;
/// An occurrence may start this long before it is due.
constexpr duration earlyLimit = 100ms;
/// From the due time to the start of the tasks, if workers are free and the owner stays the same.
constexpr duration maxDelay = 300ms;

/// Returns a job that is due for the first time \p untilFirst from now.
job_spec repeatedJob(const scheduler_world &world, const std::string &name, int repetitions,
                     int tasks, duration untilFirst, duration period)
{
    job_spec spec = plainJob(name, tasks);
    spec.scheduledOccurrences = repetitions;
    spec.firstDueUnixMs = world.unixMs() + toMs(untilFirst);
    spec.periodMs = toMs(period);
    return spec;
}

/// Returns the bytes that \p function allocates in all.
template <class callable>
std::size_t bytesOf(callable function)
{
    const std::size_t before = standin::allocated().bytes;
    function();
    return standin::allocated().bytes - before;
}

/// An owner without workers, so that no task starts.
struct held_jobs : testing::Test
{
    held_jobs()
        : first(world.addHost("host-1"))
        , second(world.addHost("host-2"))
    {
        world.takeOver(first);
        world.run(200ms);
    }

    void submit(const job_spec &spec)
    {
        const call_token token = first.call(job_call_kind::submit, spec.name, &spec);
        world.run(50ms);
        ASSERT_EQ(first.replies.at(token).outcome, job_outcome::accepted);
    }

    scheduler_world world;
    fake_host &first;
    fake_host &second;
};

/// Two hosts and four workers of four cores.
struct repeated_jobs : departed_worker
{
    repeated_jobs()
    {
        world.runTime = [this](const task_name &task) {
            startedAt[task].push_back(world.now);
            return runTime;
        };
    }

    void changeOwner()
    {
        first.isDead = true;
        world.run(1s);
        world.takeOver(second);
    }

    job_status status(fake_host &owner, const job_spec &spec)
    {
        return owner.replies.at(owner.call(job_call_kind::query, spec.name)).status;
    }

    duration runTime = 1s;
    std::map<task_name, std::vector<instant>> startedAt;
};

/// A site whose owners follow each other and have clocks that differ, while commands and workers
/// fail.
struct random_site
{
    explicit random_site(std::uint64_t seed)
        : world(seed)
        , random(seed * 977 + 5)
    {
        for (int i = 0; i < 6; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {200'000, 500'000, 0});
        world.runTime = [this](const task_name &) {
            return duration(100ms + world.random.below(2000) * 1ms);
        };
        changeOwner();
        world.run(200ms);
    }

    void changeOwner()
    {
        if (owner != nullptr)
            owner->isDead = true;
        world.run(1s);
        owner = &world.addHost(fmt::format("host-{}", world.hosts.size()));
        owner->clockAheadMs = std::int64_t(random.below(2000)) - 1000;
        world.takeOver(*owner);
    }

    void submitAny(int number)
    {
        // Every third job has more tasks than are held at once.
        const bool isLarge = number % 3 == 0;
        const int repetitions = isLarge ? 60 : 1 + int(random.below(20));
        const auto period = duration(random.below(isLarge ? 20 : 600) * 1ms);
        const auto untilFirst = duration(random.below(2000) * 1ms);
        job_spec spec = repeatedJob(world, fmt::format("j{}", number), repetitions,
                                    isLarge ? 90 : 1 + int(random.below(5)), untilFirst, period);
        if (!isLarge && random.below(2) == 0) {
            spec.steps.push_back(spec.steps[0]);
            spec.steps[1].after = {0};
        }
        const call_token token = owner->call(job_call_kind::submit, spec.name, &spec);
        world.run(100ms);
        if (owner->replies.at(token).outcome == job_outcome::accepted)
            accepted.push_back(spec);
    }

    void disturb()
    {
        world.delayedCommandRate = random.below(4) == 0 ? 0.05 : 0;
        world.lostResponseRate = random.below(4) == 0 ? 0.05 : 0;
        fake_worker &worker = std::next(world.workers.begin(), long(random.below(6)))->second;
        switch (random.below(4)) {
        case 0:
            owner->unreachableWorkers.insert(worker.info.id);
            break;
        case 1:
            if (!worker.isUp)
                break;
            worker.isUp = false;
            world.at(world.now + 2s, [this, &worker] { world.restartWorker(worker); });
            break;
        case 2:
            changeOwner();
            break;
        default:
            owner->unreachableWorkers.clear();
            break;
        }
    }

    void calmDown()
    {
        world.delayedCommandRate = 0;
        world.lostResponseRate = 0;
        owner->unreachableWorkers.clear();
    }

    scheduler_world world;
    seeded_random random;
    fake_host *owner = nullptr;
    std::vector<job_spec> accepted;
};

// CROCUSWIND_SEEDS sets the number of seeds for a longer run by hand.
int seedCount()
{
    constexpr int seedsInCi = 4;
    const char *given = std::getenv("CROCUSWIND_SEEDS");
    return given == nullptr ? seedsInCi : std::atoi(given);
}

} // namespace

// A job of 1,000 repetitions of 100 tasks took 16 MB as soon as it was accepted.
TEST_F(held_jobs, AnAcceptedJobTakesUnderAMegabyte)
{
    const job_spec spec = repeatedJob(world, "a", manyRepetitions, tasksOfOccurrence, 60s, 60s);
    EXPECT_LT(bytesOf([&] { submit(spec); }), maxBytesOfJob);
}

TEST_F(held_jobs, AJobThatIsTakenOverTakesUnderAMegabyte)
{
    submit(repeatedJob(world, "a", manyRepetitions, tasksOfOccurrence, 60s, 60s));
    first.isDead = true;
    world.run(1s);
    EXPECT_LT(bytesOf([&] { world.takeOver(second); }), maxBytesOfJob);
}

// Sixteen such jobs passed the memory at which the platform ends a process, and each host that took
// over read the same records.
TEST_F(held_jobs, TwoHundredJobsFitOnASmallHost)
{
    const std::size_t accepted = bytesOf([&] {
        for (int i = 0; i < jobsOfHost; ++i)
            submit(repeatedJob(world, fmt::format("j{}", i), manyRepetitions, tasksOfOccurrence,
                               3600s, 60s));
    });
    EXPECT_LT(accepted, maxBytesOfHost);
    first.isDead = true;
    world.run(1s);
    EXPECT_LT(bytesOf([&] { world.takeOver(second); }), maxBytesOfHost);
}

// All occurrences are due and none can run.
TEST_F(held_jobs, AJobThatFallsBehindTakesUnderAMegabyte)
{
    const job_spec spec = repeatedJob(world, "a", manyRepetitions, tasksOfOccurrence, 0s, 0s);
    EXPECT_LT(bytesOf([&] { submit(spec); }), maxBytesOfJob);
    first.isDead = true;
    world.run(1s);
    EXPECT_LT(bytesOf([&] { world.takeOver(second); }), maxBytesOfJob);
}

// Records of earlier builds name all occurrences.
TEST_F(held_jobs, ARecordThatNamesAllOccurrencesTakesUnderAMegabyte)
{
    const job_spec spec = repeatedJob(world, "a", manyRepetitions, tasksOfOccurrence, 60s, 60s);
    submit(spec);
    json occurrences = json::array();
    for (int number = 0; number < manyRepetitions; ++number)
        occurrences.push_back({number, json::array(), json::array()});
    std::string &record = world.store["cw/run/" + spec.name.value];
    record.clear();
    json::to_cbor(json::array({spec.queue.value, false, false, 0, 0, json::array(), occurrences}),
                  record);
    first.isDead = true;
    world.run(1s);
    EXPECT_LT(bytesOf([&] { world.takeOver(second); }), maxBytesOfJob);
    EXPECT_EQ(std::count(second.events.begin(), second.events.end(), "bad_record"), 0);
}

// Each occurrence overlaps with the next two.
TEST_F(repeated_jobs, OccurrencesRunOnceAndWhenDueWithTwoOwners)
{
    constexpr int repetitions = 20;
    constexpr duration period = 400ms;
    const job_spec spec = repeatedJob(world, "a", repetitions, 3, 1s, period);
    const instant firstDue = world.now + 1s;
    first.call(job_call_kind::submit, spec.name, &spec);
    world.run(4s);
    const instant lost = world.now;
    changeOwner();
    const instant tookOver = world.now;
    world.run(12s);
    EXPECT_EQ(status(second, spec), job_status::completed);
    EXPECT_EQ(startedAt.size(), std::size_t(3 * repetitions));
    for (const auto &[task, starts] : startedAt) {
        const instant due = firstDue + task.occurrence * period;
        EXPECT_EQ(starts.size(), 1U) << toString(task);
        EXPECT_GE(starts.front(), due - earlyLimit) << toString(task);
        const bool isHeldUp = due >= lost - maxDelay && due <= tookOver;
        EXPECT_LE(starts.front(), (isHeldUp ? tookOver : due) + maxDelay) << toString(task);
    }
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// More tasks are due than are held at once, and an owner that takes over doesn't know the latest
// successes, which let further occurrences begin.
TEST_F(repeated_jobs, OccurrencesThatWaitForOthersRunOnceWithTwoOwners)
{
    constexpr int repetitions = 100;
    for (int i = 0; i < 4; ++i)
        world.addWorker(fmt::format("large{}", i), "rack-1", {200'000, 500'000, 0});
    changeOwner();
    world.run(200ms);
    const job_spec spec = repeatedJob(world, "a", repetitions, tasksOfOccurrence, 0s, 0s);
    second.call(job_call_kind::submit, spec.name, &spec);
    world.run(6s);
    EXPECT_EQ(status(second, spec), job_status::running);
    second.isDead = true;
    fake_host &third = world.addHost("host-3");
    world.run(1s);
    world.takeOver(third);
    world.run(60s);
    EXPECT_EQ(status(third, spec), job_status::completed);
    EXPECT_EQ(world.done.size(), std::size_t(repetitions * tasksOfOccurrence));
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A cancelled job has nothing left that is released later.
TEST_F(repeated_jobs, NoOccurrenceOfACancelledJobBegins)
{
    const job_spec spec = repeatedJob(world, "a", 20, 3, 1s, 400ms);
    first.call(job_call_kind::submit, spec.name, &spec);
    world.run(2s);
    const std::size_t started = startedAt.size();
    EXPECT_GT(started, 0U);
    first.call(job_call_kind::cancel, spec.name);
    world.run(10s);
    EXPECT_EQ(startedAt.size(), started);
    EXPECT_EQ(status(first, spec), job_status::cancelled);
}

// The clock of the former owner was ahead, so that the new one learns from workers alone of an
// occurrence that isn't due by its own clock.
TEST_F(repeated_jobs, RunsOfAnOccurrenceThatIsNotDueYetGoOn)
{
    first.clockAheadMs = 3000;
    runTime = 5s;
    const job_spec spec = repeatedJob(world, "a", 3, 3, 5s, 60s);
    first.call(job_call_kind::submit, spec.name, &spec);
    world.run(2500ms);
    ASSERT_EQ(startedAt.size(), 3U);
    changeOwner();
    world.run(8s);
    EXPECT_EQ(world.done.size(), 3U);
    for (const auto &[task, starts] : startedAt)
        EXPECT_EQ(starts.size(), 1U) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(repeated_jobs, SuccessesOfAnOccurrenceThatIsNotDueYetCount)
{
    first.clockAheadMs = 3000;
    const job_spec spec = repeatedJob(world, "a", 3, 3, 5s, 60s);
    first.call(job_call_kind::submit, spec.name, &spec);
    world.run(2300ms);
    ASSERT_EQ(startedAt.size(), 3U);
    changeOwner();
    world.run(8s);
    EXPECT_EQ(world.done.size(), 3U);
    for (const auto &[task, starts] : startedAt)
        EXPECT_EQ(starts.size(), 1U) << toString(task);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The tasks started again when they were due, though a worker that had not reported ran them.
TEST_F(repeated_jobs, RunsOnAnUnreportedWorkerAreNotDoubledWhenTheirOccurrenceIsDue)
{
    first.clockAheadMs = 3000;
    runTime = 20s;
    const job_spec spec = repeatedJob(world, "a", 2, 3, 5s, 60s);
    first.call(job_call_kind::submit, spec.name, &spec);
    world.run(2500ms);
    ASSERT_EQ(startedAt.size(), 3U);
    for (const auto &[id, worker] : world.workers)
        if (!worker.runs.empty())
            second.unreachableWorkers.insert(id);
    changeOwner();
    world.run(30s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST(RepeatedJobs, EndAndRunNothingTwiceWhileOwnersChange)
{
    for (int seed = 1; seed <= seedCount(); ++seed) {
        random_site site{std::uint64_t(seed)};
        for (int round = 0; round < 20; ++round) {
            if (round < 6)
                site.submitAny(round);
            site.disturb();
            site.world.run(200ms + site.random.below(800) * 1ms);
        }
        site.calmDown();
        site.world.run(60s);
        EXPECT_EQ(site.world.violations, std::vector<std::string>()) << "seed " << seed;
        EXPECT_GT(site.accepted.size(), 3U) << "seed " << seed;
        for (const job_spec &spec : site.accepted) {
            const call_token token = site.owner->call(job_call_kind::query, spec.name);
            EXPECT_EQ(site.owner->replies.at(token).status, job_status::completed)
                << "seed " << seed << " " << spec.name.value;
        }
    }
}
