/// Simulates serving tasks whose latency follows a queueing model, beside best-effort tasks that
/// interfere with them.
#ifndef CROCUSWIND_TEST_SCHEDULER_INTERFERING_BURST_H
#define CROCUSWIND_TEST_SCHEDULER_INTERFERING_BURST_H

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <string>

namespace crocuswind::scheduler {

/// Latency without load, as a fraction of the latency target.
constexpr double unloadedRatio = 1 / 4.5;

/// Returns the latency of a queueing model as a fraction of the target.
inline double ratioAt(double utilisation, double unloaded = unloadedRatio)
{
    return unloaded / (1 - std::min(0.98, utilisation));
}

/// Six workers, of which the first ones run serving tasks, and a burst of best-effort tasks that
/// interfere with them.
struct interfering_burst
{
    explicit interfering_burst(int servingTasks, double unloadedLatencyRatio = unloadedRatio)
        : owner(world.addHost("host-1"))
        , unloaded(unloadedLatencyRatio)
    {
        for (int i = 0; i < 6; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {10000, 64000, 0});
        world.takeOver(owner);
        world.run(200ms);
        job_spec serving = plainJob("s", servingTasks);
        serving.steps[0].isContinuous = true;
        serving.steps[0].image = "serving";
        serving.steps[0].latencyTargetMs = 100;
        serving.steps[0].maxPerWorker = 1;
        serving.steps[0].size.milliCores = 4000;
        world.runTime = [](const task_name &task) {
            return task.job.value == "s" ? duration(1000s) : duration(2s);
        };
        owner.call(job_call_kind::submit, serving.name, &serving);
        world.run(1s);
    }

    void submitBurst(int jobs)
    {
        for (int i = 0; i < jobs; ++i) {
            job_spec burst = plainJob(fmt::format("f{}", i), 4);
            burst.steps[0].isBestEffort = true;
            burst.steps[0].image = "heavy";
            burst.steps[0].expectedRunMs = 20000;
            owner.call(job_call_kind::submit, burst.name, &burst);
        }
    }

    // Advances time by 100 ms, with usage and latencies from a queueing model.
    void step()
    {
        for (auto &[id, worker] : world.workers) {
            double added = 0;
            for (const auto &[task, run] : worker.runs) {
                const int pace
                    = worker.pacePercents.count(task) != 0 ? worker.pacePercents.at(task) : 100;
                if (task.job.value != "s") {
                    worker.measurements[task] = 10 * pace;
                    added += coefficientOf(task) * 0.1 * pace / 100;
                }
            }
            int &over = reportsOverTarget[id];
            const double ratio = ratioAt(0.4 + added, unloaded);
            bool isServing = false;
            for (const auto &[task, run] : worker.runs) {
                if (task.job.value != "s")
                    continue;
                isServing = true;
                worker.measurements[task] = std::int64_t(100 * ratio);
            }
            over = isServing && ratio > 1 ? over + 1 : 0;
            stepsOverTarget += isServing && ratio > 1 ? 1 : 0;
            EXPECT_LT(over, 20) << id.value; // Two seconds, half of what users tolerate.
        }
        world.run(100ms);
    }

    void expectCompleted(int jobs)
    {
        for (int i = 0; i < jobs; ++i) {
            const call_token token = owner.call(job_call_kind::query, {fmt::format("f{}", i)});
            EXPECT_EQ(owner.replies.at(token).status, job_status::completed) << i;
        }
    }

    // Returns the utilisation that tasks of the image add if they use all processors of a worker.
    double coefficientOf(const task_name &task) const
    {
        const auto found = coefficients.find(world.specs.at(task.job).steps[0].image);
        return found == coefficients.end() ? defaultCoefficient : found->second;
    }

    static constexpr double defaultCoefficient = 5;

    scheduler_world world;
    fake_host &owner;
    double unloaded;
    std::map<std::string, double> coefficients; ///< Of images other than the default.
    std::map<worker_id, int> reportsOverTarget;
    int stepsOverTarget = 0;
};

} // namespace crocuswind::scheduler

#endif
