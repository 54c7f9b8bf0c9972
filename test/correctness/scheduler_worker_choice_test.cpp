// Guards against cached costs that make the choice of a worker differ from that of a full scan over
// all workers.

#include "correctness/job_submission.h"
#include "scheduler/run_binding.h"
#include "scheduler/worker_choice.h"
#include "scheduler/worker_chooser.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

class null_ports final : public scheduler_ports
{
public:
    void start(const start_command &) override { }
    void stop(const stop_command &) override { }
    void pace(const pace_command &) override { }
    void poll(const poll_command &) override { }
    void fenceEarlierCommands(const worker_id &) override { }
    void commit(commit_batch) override { }
    void answer(const job_reply &) override { }
    void log(const std::string &, const std::string &) override { }
    bool shouldLogDetail() override { return true; }
    void logDetail(const std::string &, const std::string &) override { }
};

/// Workers of two services on which random steps are placed until the workers are full.
struct random_site
{
    explicit random_site(std::uint64_t seed)
        : random(seed)
        , state(scheduler_settings(), ports)
    {
        state.now = instant(1000s);
        state.exclusiveUntil = state.now + 10s;
        state.workersAsOf = state.now;
        for (int i = 0; i < 60; ++i)
            addWorker(i);
        std::string coefficients;
        for (int bestEffort = 0; bestEffort < 5; ++bestEffort) {
            for (int serving = 0; serving < 5; ++serving)
                coefficients += fmt::format("filling-{} serving-{} {}\n", bestEffort, serving,
                                            random.below(2) == 0 ? 0.1 : 3 * random.fraction());
        }
        state.interference.decode(coefficients);
    }

    std::string image(const std::string &kind)
    {
        return fmt::format("{}-{}", kind, random.below(5));
    }

    void addWorker(int number)
    {
        worker_info info;
        info.id.value = fmt::format("w{:02}", number);
        info.service.value = number % 7 == 0 ? "other" : "pool";
        info.rack.value = fmt::format("rack-{}", number % 3);
        info.labels = {number % 4 == 0 ? "a" : "b"};
        info.capacity = {16000, 64000, number % 2};
        worker_record &worker = state.workers[info.id];
        worker.info = info;
        worker.isListed = number % 11 != 0;
        worker.isInStoredList = true;
        worker.hasReported = true;
        worker.lease.recordClock(1000, state.now);
        worker.avoidedUntil = state.now + (number % 13 == 0 ? 1s : -1s);
    }

    step_spec randomStep()
    {
        step_spec step;
        step.count = 1 + int(random.below(12));
        step.size = {std::int64_t(500 * (1 + random.below(6))), 1000, random.below(20) == 0};
        step.requiredLabel = random.below(5) == 0 ? "a" : "";
        step.maxPerWorker = random.below(4) == 0 ? 1 : 0;
        step.dataRack.value = random.below(4) == 0 ? "rack-1" : "";
        const std::uint64_t use = random.below(3);
        step.isBestEffort = use == 0;
        step.latencyTargetMs = use == 1 ? 100 : 0;
        step.image = image(use == 0 ? "filling" : "serving");
        return step;
    }

    job_record &addJob(const step_spec &step)
    {
        const job_name name{fmt::format("job-{}", state.jobs.size())};
        auto job = std::make_unique<job_record>();
        job->spec = *submissionOf(name.value, step).spec;
        job->policy.service.value = random.below(6) == 0 ? "other" : "pool";
        job->occurrences.emplace(0, newOccurrence(job->spec, 0, state.now));
        return *(state.jobs[name] = std::move(job));
    }

    // Compares the cached choice with the full scan for all tasks of a random step, and binds a run
    // to each chosen worker.
    void placeRandomStep(worker_chooser &chooser)
    {
        job_record &job = addJob(randomStep());
        std::map<worker_id, int> tasksOfStep;
        worker_request request;
        request.step = &job.spec.steps[0];
        request.service = job.policy.service;
        request.tasksOfStep = &tasksOfStep;
        request.preferredRack = request.step->dataRack;
        request.maxPressure = random.below(2) == 0 ? 1 : 4;
        request.isYielding = request.step->isBestEffort && random.below(3) == 0;
        for (int index = 0; index < request.step->count; ++index) {
            worker_record *const expected = chooseWorker(state, request);
            worker_record *const chosen = chooser.choose(request);
            ASSERT_EQ(chosen, expected) << job.spec.name.value << " task " << index;
            ++(chosen == nullptr ? unplaced : placed);
            if (chosen == nullptr)
                return;
            const task_name name{job.spec.name, 0, 0, index};
            bindRun(state, *chosen, name, *job.find(name), 1, request.isYielding);
            chooser.noteStart(*chosen);
            ++tasksOfStep[chosen->info.id];
        }
    }

    seeded_random random;
    null_ports ports;
    scheduler_state state;
    int placed = 0;
    int unplaced = 0;
};

} // namespace

TEST(WorkerChooser, AgreesWithAScanOverAllWorkers)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_site site(seed);
        worker_chooser chooser(site.state);
        for (int step = 0; step < 200; ++step)
            ASSERT_NO_FATAL_FAILURE(site.placeRandomStep(chooser)) << "seed " << seed;
        EXPECT_GT(site.placed, 200) << "seed " << seed;
        EXPECT_GT(site.unplaced, 20) << "seed " << seed;
    }
}
