// Guards against serving tasks that stay over their latency target because of the best-effort tasks
// on the same worker, after many tasks of both kinds have started there at once.

#include "correctness/scheduler_interfering_burst.h"
#include "scheduler/fair_share.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// The platform counts a serving task as harmed that is over its target for this time because of
/// best-effort tasks that work beside it.
constexpr duration harmLimit = 4s;

constexpr duration stepTime = 100ms;
constexpr int servingTargetMs = 100;
constexpr std::int64_t workerMilliCores = 16000;

/// One step of best-effort tasks of one image.
struct best_effort_kind
{
    std::string image;
    int tasks = 1;
    int milliCores = 1000;
    /// The utilisation that the image would add to serving tasks if it used all processors.
    double coefficient = 0;
};

/// A worker of 16 cores on which a new owner starts best-effort tasks and then six serving tasks in
/// one pass. The latency of the serving tasks follows the paces of the best-effort tasks.
class crowded_worker
{
public:
    explicit crowded_worker(std::vector<best_effort_kind> kinds)
        : m_kinds(std::move(kinds))
        , m_owner(m_world.addHost("host-2"))
    {
        m_world.runTime = [](const task_name &) { return duration(1000s); };
    }

    // Lets an owner that has no worker accept all jobs, and another take over beside an idle
    // worker. \p model are the coefficients that the former owner has stored.
    void takeOver(const std::string &model)
    {
        m_world.store["cw/interference"] = model;
        fake_host &former = m_world.addHost("host-1");
        m_world.takeOver(former);
        m_world.run(200ms);
        submitAll(former);
        m_world.run(500ms);
        former.isDead = true;
        m_worker = &m_world.addWorker("w0", "rack-1", {workerMilliCores, 64000, 0});
        m_world.takeOver(m_owner);
        while (m_worker->runs.empty())
            m_world.run(10ms);
        m_startedAt = m_world.now;
    }

    void run(duration time)
    {
        for (const instant end = m_world.now + time; m_world.now < end;)
            step();
    }

    /// Returns the number of runs on the worker.
    std::size_t runs() const { return m_worker->runs.size(); }

    /// Returns the longest time for which serving tasks were over their target without a break.
    duration longestOverTarget() const { return m_longestOver; }

    /// Returns the share of the processor time wanted by the image that it got since the takeover.
    double progressOf(const std::string &image) const
    {
        for (const best_effort_kind &kind : m_kinds) {
            if (kind.image == image)
                return m_worked.at(image)
                    / (double(kind.tasks * kind.milliCores) * toMs(m_world.now - m_startedAt));
        }
        return 0;
    }

private:
    /// The utilisation of a serving task by the requests of its own users.
    static constexpr double ownLoad = 0.45;

    void submitAll(fake_host &owner)
    {
        for (const best_effort_kind &kind : m_kinds) {
            job_spec job = plainJob("f-" + kind.image, kind.tasks);
            job.steps[0].isBestEffort = true;
            job.steps[0].image = kind.image;
            job.steps[0].size.milliCores = kind.milliCores;
            job.steps[0].expectedRunMs = 20000;
            owner.call(job_call_kind::submit, job.name, &job);
        }
        for (int i = 0; i < 3; ++i) {
            job_spec job = plainJob(fmt::format("s{}", i), 2);
            job.steps[0].isContinuous = true;
            job.steps[0].image = fmt::format("serving-{}", i);
            job.steps[0].latencyTargetMs = servingTargetMs;
            job.steps[0].size.milliCores = 2000;
            owner.call(job_call_kind::submit, job.name, &job);
        }
    }

    const best_effort_kind *kindOf(const task_name &task) const
    {
        for (const best_effort_kind &kind : m_kinds) {
            if (task.job.value == "f-" + kind.image)
                return &kind;
        }
        return nullptr;
    }

    void step()
    {
        double utilisation = ownLoad;
        for (const auto &[task, run] : m_worker->runs) {
            const best_effort_kind *const kind = kindOf(task);
            if (kind == nullptr)
                continue;
            const auto pace = m_worker->pacePercents.find(task);
            const int percent = pace == m_worker->pacePercents.end() ? 100 : pace->second;
            const double used = double(kind->milliCores) * percent / 100;
            m_worker->measurements[task] = std::int64_t(used);
            m_worked[kind->image] += used * toMs(stepTime);
            utilisation += kind->coefficient * used / double(workerMilliCores);
        }
        const double ratio = ratioAt(utilisation);
        for (const auto &[task, run] : m_worker->runs) {
            if (kindOf(task) == nullptr)
                m_worker->measurements[task] = std::int64_t(servingTargetMs * ratio);
        }
        m_over = ratio > 1 ? m_over + stepTime : 0ms;
        m_longestOver = std::max(m_longestOver, m_over);
        m_world.run(stepTime);
    }

    std::vector<best_effort_kind> m_kinds;
    scheduler_world m_world;
    fake_host &m_owner;
    fake_worker *m_worker = nullptr;
    instant m_startedAt;
    std::map<std::string, double> m_worked; ///< By image, in thousandths of a core times ms.
    duration m_over = 0ms;
    duration m_longestOver = 0ms;
};

// Returns the stored model that knows the coefficients of all images.
std::string exactModel(const std::vector<best_effort_kind> &kinds)
{
    std::string model;
    for (const best_effort_kind &kind : kinds) {
        for (int i = 0; i < 3; ++i)
            model += fmt::format("{} serving-{} {:.3f}\n", kind.image, i, kind.coefficient);
    }
    return model;
}

// Nine tasks of 16 cores: two images interfere most, and each of the others by less than a sixth of
// the whole.
std::vector<best_effort_kind> twoLargeAndFourSmall()
{
    return {{"large-a", 2, 1800, 6.0},  {"large-b", 2, 1800, 6.0}, {"small-a", 1, 1750, 1.5},
            {"small-b", 2, 1650, 0.75}, {"small-c", 1, 1750, 1.5}, {"small-d", 1, 1750, 1.5}};
}

} // namespace

// Once the two images that interfere most were paused, the others kept the latency over its target.
// Each of them was exempt, since the interference of the paused images counted as if they ran.
TEST(Harm, ImagesThatInterfereLittleAreSlowedDownOnceTheOthersArePaused)
{
    crowded_worker worker(twoLargeAndFourSmall());
    worker.takeOver(exactModel(twoLargeAndFourSmall()));
    worker.run(20s);
    EXPECT_EQ(worker.runs(), 15U);
    EXPECT_LT(toMs(worker.longestOverTarget()), toMs(harmLimit));
}

// Many images of equal interference were all exempt.
TEST(Harm, ManyImagesThatInterfereLittleEachAreSlowedDown)
{
    std::vector<best_effort_kind> kinds;
    for (int i = 0; i < 9; ++i)
        kinds.push_back({fmt::format("image-{}", i), 1, 1750, 1.5});
    crowded_worker worker(kinds);
    worker.takeOver(exactModel(kinds));
    worker.run(20s);
    EXPECT_EQ(worker.runs(), 15U);
    EXPECT_LT(toMs(worker.longestOverTarget()), toMs(harmLimit));
}

// The model knows nothing of the images.
TEST(Harm, ImagesThatWereNeverObservedAreSlowedDownInTime)
{
    crowded_worker worker(twoLargeAndFourSmall());
    worker.takeOver("");
    worker.run(20s);
    EXPECT_EQ(worker.runs(), 15U);
    EXPECT_LT(toMs(worker.longestOverTarget()), toMs(harmLimit));
}

// Any images, of which the model knows some and is wrong about others.
TEST(Harm, NoMixOfImagesKeepsServingTasksOverTheirTarget)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        seeded_random random(seed);
        std::vector<best_effort_kind> kinds;
        std::string model;
        for (int i = 0; i < 6; ++i) {
            const double coefficient = random.fraction() < 0.5 ? 0.2 : 6 * random.fraction();
            kinds.push_back({fmt::format("image-{}", i), 1 + i % 2, 1750, coefficient});
            if (random.fraction() < 0.6)
                model
                    += fmt::format("image-{} serving-{} {:.3f}\n", i, i % 3, 6 * random.fraction());
        }
        crowded_worker worker(kinds);
        worker.takeOver(model);
        worker.run(15s);
        EXPECT_EQ(worker.runs(), 15U) << seed;
        EXPECT_LT(toMs(worker.longestOverTarget()), toMs(harmLimit)) << seed;
    }
}

// A tolerance for images that interfere little is worth keeping: they need no pause beside an image
// that alone uses up what serving tasks tolerate.
TEST(Harm, AnImageThatInterferesLittleKeepsItsPaceBesideOneThatInterferesMuch)
{
    const std::vector<best_effort_kind> kinds = {{"large", 3, 1800, 6.0}, {"light", 6, 1700, 0.1}};
    crowded_worker worker(kinds);
    worker.takeOver(exactModel(kinds));
    worker.run(20s);
    EXPECT_LT(toMs(worker.longestOverTarget()), toMs(harmLimit));
    EXPECT_GT(worker.progressOf("light"), 0.9);
    EXPECT_GT(worker.progressOf("large"), 0.05);
}

TEST(FairShare, SmallDemandsAreMetAndTheOthersShareTheRest)
{
    EXPECT_DOUBLE_EQ(fairShare({6, 1, 6}, 5), 2);
    EXPECT_DOUBLE_EQ(fairShare({4, 4, 4, 4}, 4), 1);
    EXPECT_DOUBLE_EQ(fairShare({3, 1}, 0), 0);
    EXPECT_GE(fairShare({1, 3}, 4), 3);
    EXPECT_GE(fairShare({0, 0}, 0), 0);
    EXPECT_GE(fairShare({}, 1), 0);
}
