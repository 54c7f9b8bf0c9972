// Guards against best-effort tasks that interfere with serving tasks, and against interference that
// is attributed to the wrong image.

#include "correctness/scheduler_interfering_burst.h"
#include "scheduler/interference_model.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

TEST(InterferenceModel, DistinguishesInterferingImagesFromOthersThatRunBesideThem)
{
    interference_model model;
    seeded_random random(7);
    const int serving = model.indexOfServing("serving");
    const int heavy = model.indexOfBestEffort("heavy");
    const int light = model.indexOfBestEffort("light");
    double load = model.typicalLoad(serving);
    for (int i = 0; i < 600; ++i) {
        const double ownLoad = 0.25 + 0.3 * random.fraction();
        const std::vector<interfering_share> shares
            = {{heavy, 0.1 * random.fraction()}, {light, 0.4 * random.fraction()}};
        const double utilisation = ownLoad + 4 * shares[0].share + 0.1 * shares[1].share;
        load = model.observe(serving, ratioAt(utilisation), load, shares);
    }
    EXPECT_GT(model.coefficient("heavy", "serving"), 2);
    EXPECT_LT(model.coefficient("light", "serving"), 0.5);
}

TEST(InterferenceModel, CoefficientsSurviveEncodingAndDecoding)
{
    interference_model model;
    model.observe(model.indexOfServing("serving"), 3, 0.4,
                  {{model.indexOfBestEffort("heavy"), 0.2}});
    interference_model copy;
    copy.decode(model.encode());
    EXPECT_NEAR(copy.coefficient("heavy", "serving"), model.coefficient("heavy", "serving"), 0.001);
    copy.decode("no numbers here");
    EXPECT_NEAR(copy.coefficient("heavy", "serving"), model.coefficient("heavy", "serving"), 0.001);
}

// Callers choose the names of images. An empty name or one with blanks truncated the record at its
// position, so that a later owner did not inherit the entries after it.
TEST(InterferenceModel, AnyImageNameSurvivesEncodingAndDecoding)
{
    const std::string names[] = {"", " ", "a b", "a\nb 1 2\n", "\"", "\\", "zz"};
    interference_model model;
    for (const std::string &bestEffort : names) {
        for (const std::string &serving : names)
            model.observe(model.indexOfServing(serving), 3, 0.4,
                          {{model.indexOfBestEffort(bestEffort), 0.2}});
    }
    interference_model copy;
    copy.decode(model.encode());
    for (const std::string &bestEffort : names) {
        for (const std::string &serving : names)
            EXPECT_NEAR(copy.coefficient(bestEffort, serving),
                        model.coefficient(bestEffort, serving), 0.001)
                << bestEffort << "|" << serving;
    }
}

// Load: serving tasks on some of the workers and a burst of best-effort tasks that interfere with
// them. The latency must return below its target within seconds, and all jobs of the burst must
// still complete.
TEST(PaceControl, KeepsLatencyBelowTargetDuringABurstOfInterferingTasks)
{
    interfering_burst burst(4);
    burst.submitBurst(12);
    for (int step = 0; step < 300; ++step)
        burst.step();
    burst.expectCompleted(12);
}

// Load: a burst beside serving tasks whose latency without load is a third of their target. With
// one target utilisation for all images, these tasks exceeded their latency target for as long as
// best-effort tasks were available.
TEST(PaceControl, KeepsLatencyBelowTargetForTasksWithLittleMargin)
{
    interfering_burst burst(6, 1 / 3.2);
    burst.submitBurst(40);
    for (int step = 0; step < 300; ++step)
        burst.step();
    // The target is exceeded while the images are new. With one target utilisation for all images,
    // it was exceeded in 481 steps.
    EXPECT_LT(burst.stepsOverTarget, 6 * 300 / 8);
}

// Best-effort tasks waited for half a minute although most of the fleet was idle, since at full
// pace they would have endangered the serving tasks on every worker.
TEST(PaceControl, InterferingTasksRunBesideServingTasksWhileTheFleetHasSpareCapacity)
{
    interfering_burst burst(6);
    burst.submitBurst(6);
    for (int step = 0; step < 300; ++step)
        burst.step();
    burst.expectCompleted(6);
}

// An image that no worker could take blocked the tasks of all other images of the same size.
TEST(PaceControl, AnImageWithoutASuitableWorkerDoesNotBlockOthers)
{
    interfering_burst burst(6);
    burst.submitBurst(60);
    for (int step = 0; step < 50; ++step)
        burst.step();
    job_spec light = plainJob("light", 2);
    light.steps[0].isBestEffort = true;
    light.steps[0].image = "light";
    light.steps[0].expectedRunMs = 30000; // Ordered after the tasks of the burst.
    light.steps[0].size.milliCores = 1100;
    burst.owner.call(job_call_kind::submit, light.name, &light);
    for (int step = 0; step < 40; ++step)
        burst.step();
    const call_token token = burst.owner.call(job_call_kind::query, {"light"});
    EXPECT_EQ(burst.owner.replies.at(token).status, job_status::completed);
}

// Serving images were packed together onto few workers while other workers stayed empty, so that
// tasks that interfere with one of the images found no suitable worker.
TEST(WorkerChoice, SeparatesServingImagesWhileWorkersAreFree)
{
    scheduler_world world;
    fake_host &owner = world.addHost("host-1");
    for (int i = 0; i < 6; ++i)
        world.addWorker(fmt::format("w{}", i), "rack-1", {10000, 64000, 0});
    world.takeOver(owner);
    world.run(200ms);
    world.runTime = [](const task_name &) { return duration(1000s); };
    for (const std::string name : {"a1", "b1", "c1", "a2", "b2", "c2"}) {
        job_spec serving = plainJob(name, 2);
        serving.steps[0].isContinuous = true;
        serving.steps[0].image = name.substr(0, 1);
        serving.steps[0].latencyTargetMs = 100;
        serving.steps[0].maxPerWorker = 1;
        serving.steps[0].size.milliCores = 4000;
        owner.call(job_call_kind::submit, serving.name, &serving);
        world.run(500ms);
    }
    std::map<worker_id, std::set<char>> images;
    for (const auto &[id, worker] : world.workers) {
        for (const auto &[task, run] : worker.runs)
            images[id].insert(task.job.value.front());
    }
    EXPECT_EQ(images.size(), 6U);
    for (const auto &[id, present] : images)
        EXPECT_EQ(present.size(), 1U) << id.value;
}

// Best-effort tasks went to the worker with the most idle processors as long as its serving tasks
// could just tolerate them, although another worker ran only tasks that they do not affect.
TEST(WorkerChoice, PlacesBestEffortTasksWhereTheyInterfereLeast)
{
    scheduler_world world;
    fake_host &owner = world.addHost("host-1");
    world.addWorker("w0", "rack-1", {10000, 64000, 0});
    world.addWorker("w1", "rack-1", {14000, 64000, 0});
    world.store["cw/interference"] = "heavy a 2.000\nheavy b 0.100\n";
    world.takeOver(owner);
    world.run(200ms);
    world.runTime = [](const task_name &) { return duration(1000s); };
    for (const std::string image : {"b", "a"}) { // The first image is placed on the smaller worker.
        job_spec serving = plainJob(image, 1);
        serving.steps[0].isContinuous = true;
        serving.steps[0].image = image;
        serving.steps[0].latencyTargetMs = 100;
        serving.steps[0].size.milliCores = 4000;
        owner.call(job_call_kind::submit, serving.name, &serving);
        world.run(500ms);
    }
    ASSERT_EQ(world.workers.at({"w0"}).runs.count({{"b"}, 0, 0, 0}), 1U);
    ASSERT_EQ(world.workers.at({"w1"}).runs.count({{"a"}, 0, 0, 0}), 1U);
    job_spec bestEffort = plainJob("f", 1);
    bestEffort.steps[0].isBestEffort = true;
    bestEffort.steps[0].image = "heavy";
    owner.call(job_call_kind::submit, bestEffort.name, &bestEffort);
    world.run(500ms);
    EXPECT_EQ(world.workers.at({"w0"}).runs.count({{"f"}, 0, 0, 0}), 1U);
}

// An exception terminated the owner when the start of a task without processors was confirmed.
TEST(SchedulerInterference, BestEffortTasksMayRequestNoProcessors)
{
    scheduler_world world;
    fake_host &owner = world.addHost("host-1");
    world.addWorker("w0", "rack-1", {10000, 64000, 0});
    world.takeOver(owner);
    world.run(200ms);
    job_spec job = plainJob("f", 2);
    job.steps[0].isBestEffort = true;
    job.steps[0].size.milliCores = 0;
    owner.call(job_call_kind::submit, job.name, &job);
    world.run(4s);
    const call_token token = owner.call(job_call_kind::query, job.name);
    EXPECT_EQ(owner.replies.at(token).status, job_status::completed);
}
