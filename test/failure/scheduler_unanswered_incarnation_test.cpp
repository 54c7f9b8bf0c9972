// Guards against tasks that run twice because a new life of a worker carries out a start that was
// meant for its former one, and no owner has heard of that life when the next one takes over.

#include "scheduler_unanswered_incarnation.h"

#include <cstdlib>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// How long the tasks of a kind of job run.
constexpr duration shortRun = 1500ms;
constexpr duration longRun = 12s;

/// Finite and continuous tasks on ten workers. In turn, some restart in the dark, are back for
/// a short time and are cut off; meanwhile owners are killed or stand still.
class recut_site
{
public:
    explicit recut_site(std::uint64_t seed)
        : m_random(seed)
        , world(seed)
    {
        for (int i = 0; i < 10; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {8000, 64000, 0});
        world.runTime = [](const task_name &task) {
            return isContinuous(task.job) ? duration(1000s)
                : task.index % 3 == 0     ? shortRun
                                          : longRun;
        };
        world.holdsCommandsOfDownWorkers = true;
        m_owner = &world.addHost("host-0");
        world.addHost("host-1");
        world.takeOver(*m_owner);
        world.run(200ms);
        for (int i = 0; i < 3; ++i)
            submit(true);
        world.run(20s);
    }

    void play()
    {
        const instant begin = world.now;
        for (int job = 0; job < 24; ++job)
            world.at(begin + upTo(36000), [this] { submit(false); });
        for (int round = 0; round < 3; ++round)
            world.at(begin + round * 13s + upTo(500), [this] { recut(); });
        world.run(60s);
    }

private:
    static bool isContinuous(const job_name &job) { return job.value[0] == 'c'; }

    duration upTo(int limitMs) { return int(m_random.below(std::uint64_t(limitMs))) * 1ms; }

    void submit(bool isLasting)
    {
        if (m_owner->isDead)
            return;
        job_spec spec = plainJob(fmt::format("{}{}", isLasting ? 'c' : 'f', m_jobs++), 4);
        spec.steps[0].isContinuous = isLasting;
        m_owner->call(job_call_kind::submit, spec.name, &spec);
    }

    // Takes workers down for a short time, and cuts them off soon after they are back. The owner is
    // lost in between.
    void recut()
    {
        const int darkMs = 200 + int(m_random.below(1000));
        const instant back = world.now + darkMs * 1ms;
        for (int job = 0; job < 3; ++job)
            world.at(world.now + upTo(darkMs), [this] { submit(false); });
        const int gapMs = 100 + int(m_random.below(2300));
        const instant cut = back + gapMs * 1ms;
        const bool isCutFromStore = m_random.below(2) == 0;
        for (auto &[id, worker] : world.workers) {
            if (m_random.below(3) != 0)
                continue;
            worker.isUp = false;
            const instant healed = cut + 8500ms + upTo(1000);
            world.at(back, [this, &w = worker] { world.restartWorker(w); });
            world.at(cut, [this, &w = worker, isCutFromStore] { setCut(w, true, isCutFromStore); });
            world.at(healed, [this, &w = worker] { setCut(w, false, false); });
        }
        world.at(back + upTo(gapMs), [this] { loseOwner(); });
    }

    void setCut(fake_worker &worker, bool isCut, bool isCutFromStore)
    {
        worker.reachesStore = !isCutFromStore;
        if (isCut)
            m_cut.insert(worker.info.id);
        else
            m_cut.erase(worker.info.id);
        for (const auto &host : world.hosts)
            host->unreachableWorkers = m_cut;
    }

    // The owner is killed, or stands still for longer than its ownership lasts.
    void loseOwner()
    {
        const std::uint64_t how = m_random.below(4);
        if (how == 0)
            return;
        if (how == 1) {
            m_owner->stalledUntil = world.now + 2s + upTo(3000);
            m_owner->isStoreUnreachable = true;
        } else {
            m_owner->isDead = true;
        }
        world.at(world.now + electionTime, [this] {
            m_owner = world.hosts.back().get();
            fake_host &standby = world.addHost(fmt::format("host-{}", world.hosts.size()));
            standby.unreachableWorkers = m_cut;
            m_owner->unreachableWorkers = m_cut;
            world.takeOver(*m_owner);
        });
    }

    seeded_random m_random;
    fake_host *m_owner = nullptr;
    std::set<worker_id> m_cut;
    int m_jobs = 0;

public:
    scheduler_world world;
};

// CROCUSWIND_SEEDS sets the number of seeds for a longer run by hand.
int seedCount()
{
    constexpr int seedsInCi = 40;
    const char *given = std::getenv("CROCUSWIND_SEEDS");
    return given == nullptr ? seedsInCi : std::atoi(given);
}

} // namespace

TEST_F(unanswered_incarnation, AStartThatItCarriesOutIsAwaitedByTheNextOwner)
{
    loseOwnerAndWorker(plainJob("a", 1));
    world.run(electionTime);
    world.takeOver(next);
    world.run(30s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 2);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The second owner never hears of the worker either; the third one must not count anew what the
// worker may hold.
TEST_F(unanswered_incarnation, AStartThatItCarriesOutIsAwaitedOnceByOwnersInTurn)
{
    fake_host &third = world.addHost("host-3");
    third.unreachableWorkers.insert(worker.info.id);
    loseOwnerAndWorker(plainJob("a", 1));
    world.run(electionTime);
    world.takeOver(next);
    world.run(5s);
    next.isDead = true;
    world.run(electionTime);
    world.takeOver(third);
    world.run(12s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 2);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The owner knows what it has sent to the worker, and dies once that is stored.
TEST_F(unanswered_incarnation, AStartThatItsSenderStoredIsAwaitedByTheNextOwner)
{
    submitWhileDown(plainJob("a", 1));
    world.run(900ms);
    world.restartWorker(worker);
    ASSERT_EQ(worker.runs.size(), 1U);
    worker.reachesStore = false;
    cutWorkerOff();
    world.run(2500ms); // Polls fail, and the list names the worker as silent.
    ASSERT_NE(std::count(owner.events.begin(), owner.events.end(), "silent_workers_stored"), 0);
    owner.isDead = true;
    takeOverBesideAnotherWorker();
    world.run(40s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 2);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Nothing was sent to the worker without an answer, and the list says so.
TEST_F(unanswered_incarnation, IsNotAwaitedAfterASilenceWithoutStarts)
{
    worker.isUp = false;
    world.run(3s);
    const job_spec spec = plainJob("a", 1);
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(500ms);
    owner.isDead = true;
    takeOverBesideAnotherWorker();
    world.run(7s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 1);
}

// The first step still runs on a worker that answers, so that nobody can have started the second.
TEST_F(unanswered_incarnation, DelaysNoStepWhosePredecessorStillRuns)
{
    world.runTime = [](const task_name &) { return 6s; };
    job_spec spec = plainJob("a", 1);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(3s);
    ASSERT_EQ(worker.runs.size(), 1U);
    fake_worker &silent = world.addWorker("w1", "rack-1", {8000, 8000, 0});
    owner.core.onWorker(world.now, silent.info);
    world.run(1s);
    silent.isUp = false;
    owner.isDead = true;
    world.run(electionTime);
    world.takeOver(next);
    world.run(3s - electionTime);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 1);
    EXPECT_EQ((world.starts[{{"a"}, 0, 1, 0}]), 1);
}

// A continuous task is needed again before an incarnation without an answer could be ruled out.
TEST_F(unanswered_incarnation, DelaysNoContinuousTask)
{
    job_spec spec = plainJob("c", 1);
    spec.steps[0].isContinuous = true;
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(1s);
    ASSERT_EQ(worker.runs.size(), 1U);
    worker.isUp = false;
    owner.isDead = true;
    world.addWorker("w1", "rack-1", {8000, 8000, 0});
    world.run(electionTime);
    world.takeOver(next);
    world.run(8s - electionTime);
    EXPECT_EQ((world.starts[{{"c"}, 0, 0, 0}]), 2);
}

// A second run of the first step goes on after the first one has ended: the second step may run.
TEST_F(unanswered_incarnation, AStepMayRunWhoseGivenUpPredecessorWasDone)
{
    world.runTime = [this](const task_name &task) {
        return task.step == 0 && world.starts[task] <= 1 ? duration(3s) : duration(1000s);
    };
    job_spec spec = plainJob("a", 1);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    owner.call(job_call_kind::submit, spec.name, &spec);
    world.run(1s);
    ASSERT_EQ(worker.runs.size(), 1U);
    fake_worker &second = world.addWorker("w1", "rack-1", {8000, 8000, 0});
    owner.core.onWorker(world.now, second.info);
    world.run(1s);
    owner.unreachableWorkers.insert(worker.info.id);
    world.run(10s);
    ASSERT_EQ(second.runs.size(), 1U); // The second run of the first step.
    fake_worker &third = world.addWorker("w2", "rack-1", {1000, 8000, 0});
    owner.core.onWorker(world.now, third.info);
    world.run(2s);
    world.storeDelay = 3s; // The end of the first run is not durable in time.
    owner.unreachableWorkers = {second.info.id};
    for (int i = 0; i < 200 && worker.runs.empty() && third.runs.empty(); ++i)
        world.run(10ms);
    fake_worker &runner = worker.runs.empty() ? third : worker;
    ASSERT_EQ(runner.runs.size(), 1U);
    owner.isDead = true;
    world.storeDelay = 0ms;
    next.unreachableWorkers = {worker.info.id, third.info.id};
    world.run(electionTime);
    world.takeOver(next);
    world.run(300ms);
    next.unreachableWorkers.clear();
    next.unreachableWorkers.insert(runner.info.id);
    world.run(1500ms);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// An entry of service discovery names a later life, which has answered nobody.
TEST_F(unanswered_incarnation, AnEntryOfItsNextLifeEndsNoWait)
{
    submitWhileDown(plainJob("a", 1));
    world.run(3300ms);
    ASSERT_NE(std::count(owner.events.begin(), owner.events.end(), "silent_workers_stored"), 0);
    const auto held = std::exchange(worker.heldCommands, {});
    cutWorkerOff();
    owner.isDead = true;
    world.restartWorker(worker);
    executeLate(held);
    takeOverBesideAnotherWorker();
    world.run(40s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 2);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The same late start where the entry does not reach the next owner.
TEST_F(unanswered_incarnation, AStartThatItsSenderStoredIsAwaitedThoughItIsCarriedOutLate)
{
    submitWhileDown(plainJob("a", 1));
    world.run(3300ms);
    const auto held = std::exchange(worker.heldCommands, {});
    cutWorkerOff();
    worker.reachesStore = false;
    owner.isDead = true;
    world.restartWorker(worker);
    executeLate(held);
    takeOverBesideAnotherWorker();
    world.run(40s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 2);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The list is of an earlier build, which names silent workers but no unanswered runs.
TEST_F(unanswered_incarnation, AStartThatAnEarlierBuildStoredIsAwaited)
{
    submitWhileDown(plainJob("a", 1));
    world.run(900ms);
    world.restartWorker(worker);
    ASSERT_EQ(worker.runs.size(), 1U);
    worker.reachesStore = false;
    cutWorkerOff();
    world.run(2500ms);
    owner.isDead = true;
    for (auto &[key, text] : world.store) {
        for (auto begin = text.find(" unanswered/"); begin != std::string::npos;
             begin = text.find(" unanswered/"))
            text.erase(begin, text.find('\n', begin) + 1 - begin);
    }
    takeOverBesideAnotherWorker();
    world.run(40s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 2);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A time that cannot be read counts as an hour; no run can last that long.
TEST_F(unanswered_incarnation, AMalformedTimeDelaysNoTaskForAnHour)
{
    submitWhileDown(plainJob("a", 1));
    world.run(3400ms);
    owner.isDead = true;
    for (auto &[key, text] : world.store) {
        const std::string prefix = " unanswered/";
        const auto begin = text.rfind(prefix);
        if (begin != std::string::npos)
            text.insert(begin + prefix.size(), "x");
    }
    takeOverBesideAnotherWorker();
    world.run(60s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 1);
}

// The worker was leaving when its owner was lost: its tasks are known, but not until when they run.
TEST_F(unanswered_incarnation, AStartThatALeavingWorkerCarriesOutIsAwaited)
{
    submitWhileDown(plainJob("a", 1));
    world.run(300ms);
    worker.info.isDraining = true;
    owner.core.onWorker(world.now, worker.info);
    owner.scheduleTick();
    world.run(1500ms);
    world.restartWorker(worker);
    ASSERT_EQ(worker.runs.size(), 1U);
    owner.isDead = true;
    worker.reachesStore = false;
    next.unreachableWorkers.insert(worker.info.id);
    world.addWorker("w1", "rack-1", {8000, 8000, 0});
    world.run(electionTime);
    world.takeOver(next);
    world.run(40s);
    EXPECT_EQ((world.starts[{{"a"}, 0, 0, 0}]), 2);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST(RecutWorkers, DuplicateNoRunWhenOwnersAreLost)
{
    const int seeds = seedCount();
    for (int seed = 1; seed <= seeds; ++seed) {
        recut_site site{std::uint64_t(seed)};
        site.play();
        EXPECT_EQ(site.world.violations, std::vector<std::string>()) << "seed " << seed;
    }
}
