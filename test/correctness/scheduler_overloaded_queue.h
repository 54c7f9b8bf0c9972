/// Replays the load of a queue of best-effort work for which there is too little room for a while.
#ifndef CROCUSWIND_TEST_SCHEDULER_OVERLOADED_QUEUE_H
#define CROCUSWIND_TEST_SCHEDULER_OVERLOADED_QUEUE_H

#include "correctness/scheduler_world.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace crocuswind::scheduler {

/// Twelve workers of ten cores in three data centres, and a queue of best-effort jobs of two steps
/// with five tasks each on average, whose estimates are off by up to a half. Every ten jobs a
/// second need 100 of the 120 cores.
struct overloaded_queue
{
    static constexpr int maxTasks = 14;

    overloaded_queue()
        : owner(&world.addHost("host-1"))
    {
        for (int i = 0; i < 12; ++i)
            world.addWorker(fmt::format("w{:02}", i), "rack-1", {10000, 64000, 0})
                .info.dataCentre.value
                = fmt::format("dc-{}", i % 3);
        world.queues.push_back(world.queues.front());
        world.queues.front().queue.value = "interactive";
        world.queues.back().priority = 2;
        world.queues.back().objectiveSlackMs = 1000;
        world.runTime = [](const task_name &task) {
            return 700ms + 50ms * ((task.index * 37 + task.step * 5) % 13);
        };
        world.takeOver(*owner);
        world.run(3s); // Until the owner may decide for load.
    }

    // Submits jobs at \p perSecond for the time, the sizes and errors of which repeat.
    void submitFor(duration time, int perSecond)
    {
        const instant end = world.now + time;
        while (world.now < end) {
            submitOne();
            run(duration(1'000'000 / perSecond));
        }
    }

    void submitOne()
    {
        const int number = int(jobs.size());
        job_spec job = plainJob(fmt::format("j{:04}", number), tasksOf(number));
        job.steps[0].isBestEffort = true;
        job.steps[0].image = "image";
        job.steps[0].expectedRunMs = 500 + 100 * (number * 7 % 11);
        job.steps.push_back(job.steps[0]);
        job.steps[1].after = {0};
        jobs.push_back({job.name, world.now, owner->call(job_call_kind::submit, job.name, &job)});
    }

    static int tasksOf(int number) { return number % 10 == 3 ? maxTasks : 2 + number * 3 % 5; }

    // Runs for the time, and records when each job was done.
    void run(duration time)
    {
        for (const instant end = world.now + time; world.now < end;) {
            world.run(std::min<duration>(100ms, end - world.now));
            for (const submitted_job &job : jobs) {
                if (doneAt.count(job.name) == 0 && isDone(job.name))
                    doneAt[job.name] = world.now;
            }
        }
    }

    bool isDone(const job_name &name) const
    {
        const int tasks = world.specs.at(name).steps[1].count;
        for (int index = 0; index < tasks; ++index) {
            if (world.done.count({name, 0, 1, index}) == 0)
                return false;
        }
        return true;
    }

    // How jobs ended.
    struct outcome
    {
        int inTime = 0;
        int late = 0; ///< Of use nevertheless.
        int useless = 0; ///< Accepted, and done too late or not at all.
        int refused = 0;
        int served() const { return inTime + late; }
        int all() const { return inTime + late + useless + refused; }
    };

    bool isRefused(std::size_t number) const
    {
        const auto reply = owner->replies.find(jobs[number].submission);
        return reply != owner->replies.end() && reply->second.outcome == job_outcome::refused;
    }

    // Returns how the jobs of at least \p minTasks tasks a step ended. Call it at the end.
    outcome count(int minTasks = 0)
    {
        outcome result;
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            if (tasksOf(int(i)) < minTasks)
                continue;
            const auto done = doneAt.find(jobs[i].name);
            const duration span = objectiveOf(jobs[i].name);
            if (isRefused(i))
                ++result.refused;
            else if (done == doneAt.end() || done->second > jobs[i].submittedAt + 3 * span)
                ++result.useless;
            else if (done->second > jobs[i].submittedAt + span)
                ++result.late;
            else
                ++result.inTime;
        }
        return result;
    }

    duration objectiveOf(const job_name &name) const
    {
        const std::int64_t chainMs = 2 * world.specs.at(name).steps[0].expectedRunMs;
        return std::chrono::milliseconds(2 * chainMs + 1000);
    }

    struct submitted_job
    {
        job_name name;
        instant submittedAt;
        call_token submission = 0;
    };

    scheduler_world world;
    fake_host *owner; ///< To which jobs are submitted.
    std::vector<submitted_job> jobs;
    std::map<job_name, instant> doneAt;
};

// 2.5 times the load of the queue for six seconds, between a usual load.
inline void submitBurst(overloaded_queue &queue)
{
    queue.submitFor(4s, 8);
    queue.submitFor(6s, 20);
    queue.submitFor(10s, 8);
}

inline void print(const char *what, const overloaded_queue::outcome &o)
{
    fmt::print("{}: in time {}, late {}, useless {}, refused {} of {}\n", what, o.inTime, o.late,
               o.useless, o.refused, o.all());
}

} // namespace crocuswind::scheduler

#endif
