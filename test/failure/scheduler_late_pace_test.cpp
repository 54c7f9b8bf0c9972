// Guards against serving tasks that stay over their latency target because a pace command was
// carried out late, after newer ones.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// The platform counts a serving task as harmed that is over its target for this time because of
/// best-effort tasks that work beside it.
constexpr duration harmLimit = 4s;

constexpr duration stepTime = 100ms;
constexpr std::int64_t targetMs = 50;
constexpr double lowLoad = 0.3;
constexpr double highLoad = 0.72;

/// A worker with a serving task and two best-effort tasks, whose pace the latency follows.
class paced_worker
{
public:
    paced_worker()
        : m_owner(world.addHost("host-1"))
        , m_worker(world.addWorker("w0", "rack-1", {8000, 64000, 0}))
    {
        world.runTime = [](const task_name &) { return 1000s; };
        world.takeOver(m_owner);
        world.run(200ms);
        job_spec serving = plainJob("s", 1);
        serving.steps[0].isContinuous = true;
        serving.steps[0].image = "serving";
        serving.steps[0].latencyTargetMs = int(targetMs);
        serving.steps[0].size.milliCores = 2000;
        m_owner.call(job_call_kind::submit, serving.name, &serving);
        job_spec filling = plainJob("f", 2);
        filling.steps[0].isBestEffort = true;
        filling.steps[0].image = "filling";
        filling.steps[0].size.milliCores = 2000;
        m_owner.call(job_call_kind::submit, filling.name, &filling);
    }

    void run(double load, duration time)
    {
        for (const instant end = world.now + time; world.now < end;)
            step(load);
    }

    /// Returns for how long the serving task has been over its target.
    duration overTarget() const { return m_overTarget; }

    scheduler_world world;

private:
    void step(double load)
    {
        double utilisation = load;
        for (const auto &[task, run] : m_worker.runs) {
            if (task.job.value != "f")
                continue;
            const auto pace = m_worker.pacePercents.find(task);
            const int percent = pace == m_worker.pacePercents.end() ? 100 : pace->second;
            m_worker.measurements[task] = 20 * percent;
            utilisation += 0.8 * 0.25 * percent / 100;
        }
        const auto latencyMs = std::int64_t(10 / (1 - std::min(0.98, utilisation)));
        m_worker.measurements[{{"s"}, 0, 0, 0}] = latencyMs;
        m_overTarget = latencyMs > targetMs ? m_overTarget + stepTime : duration::zero();
        world.run(stepTime);
    }

    fake_host &m_owner;
    fake_worker &m_worker;
    duration m_overTarget{};
};

} // namespace

// The load falls, so that the paces are raised, and rises again, so that they are lowered. A
// command that raised one of them is carried out after that.
TEST(LatePace, IsCorrected)
{
    paced_worker site;
    site.run(lowLoad, 5s);
    site.run(highLoad, 5s);
    int late = 0;
    site.world.paceDelay = [&](const pace_command &command) {
        const bool isLate = command.percent >= 60 && late == 0;
        late += isLate ? 1 : 0;
        return isLate ? duration(9s) : duration::zero();
    };
    site.run(lowLoad, 4s);
    ASSERT_EQ(late, 1);
    site.run(highLoad, 5s);
    ASSERT_LT(site.overTarget().count(), duration(harmLimit).count());
    site.run(highLoad, 10s);
    EXPECT_LT(site.overTarget().count(), duration(harmLimit).count());
}
