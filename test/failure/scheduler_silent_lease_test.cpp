// Guards against owners in turn that each wait anew for the lease of the same lost worker, so that
// its tasks never run again, and against tasks that are started while a lease may still last.

#include "scheduler_departed_worker.h"

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// A continuous task must run again at most this long after its last run ended: 6 s, and 3 s until
/// its absence counts.
constexpr duration longestAbsence = 9s;

/// Eight continuous tasks on four workers, and hosts that own the jobs in turn.
struct silent_lease_test : departed_worker
{
    silent_lease_test()
        : third(world.addHost("host-3"))
        , fourth(world.addHost("host-4"))
    {
        world.runTime = [](const task_name &) { return 1000s; };
        spec = submit(first, "a", 8, true);
        world.run(500ms);
    }

    // Removes a worker without a trace: connections to it time out.
    void loseWorker()
    {
        fake_worker &lost = firstBusyWorker();
        world.removeWorker(lost);
        lost.refusesConnections = false;
        lostAt = world.now;
    }

    void runUntil(duration sinceLoss) { world.run(lostAt + sinceLoss - world.now); }

    // Kills the owner; the next one takes over 1.2 s later.
    void replace(fake_host &owner, fake_host &next)
    {
        owner.isDead = true;
        world.run(1200ms);
        world.takeOver(next);
    }

    // Stops the owner as planned; the next one takes over 200 ms later.
    void handOver(fake_host &owner, fake_host &next)
    {
        while (!owner.core.prepareHandover(world.now))
            world.run(10ms);
        owner.core.giveUp(world.now);
        world.run(200ms);
        world.takeOver(next);
    }

    // Stops the owner as planned. Another host is elected that never serves; the one that is
    // returned starts after that, so that it sees nothing of the former owner.
    fake_host &startAfterUnservedElection(fake_host &owner)
    {
        while (!owner.core.prepareHandover(world.now))
            world.run(10ms);
        owner.core.giveUp(world.now);
        owner.isDead = true;
        world.run(300ms);
        world.elect();
        world.run(200ms);
        return world.addHost(fmt::format("late-{}", world.hosts.size()));
    }

    job_spec spec;
    fake_host &third;
    fake_host &fourth;
    instant lostAt;
};

} // namespace

TEST_F(silent_lease_test, IsAwaitedOnceByOwnersThatAreStopped)
{
    loseWorker();
    runUntil(300ms);
    handOver(first, second);
    runUntil(3s);
    handOver(second, third);
    runUntil(6s);
    handOver(third, fourth);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(silent_lease_test, IsAwaitedOnceByOwnersThatAreKilled)
{
    first.isDead = true;
    loseWorker();
    runUntil(200ms);
    world.takeOver(second);
    runUntil(2500ms);
    replace(second, third);
    runUntil(6s);
    replace(third, fourth);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The owner knew for how long the worker had been silent; its successor did not.
TEST_F(silent_lease_test, IsKnownToTheNextOwner)
{
    loseWorker();
    runUntil(4s);
    replace(first, second);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// An owner that was elected but never read the records changes nothing.
TEST_F(silent_lease_test, IsKnownDespiteAnOwnerThatNeverServed)
{
    loseWorker();
    runUntil(4s);
    first.isDead = true;
    ++world.storeEpoch;
    world.run(1200ms);
    world.takeOver(third);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
}

// The former owner had given up the runs of a worker that service discovery still listed. The next
// owner waited for that worker once more.
TEST_F(silent_lease_test, IsNotAwaitedOnceItHasLapsed)
{
    fake_worker &worker = firstBusyWorker();
    for (fake_host *host : {&first, &second})
        host->unreachableWorkers = {worker.info.id};
    world.run(8s);
    ASSERT_EQ(runCount(spec), 8U);
    fake_worker &other = firstBusyWorker();
    world.removeWorker(other);
    other.refusesConnections = false;
    lostAt = world.now;
    runUntil(4s);
    replace(first, second);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A worker that was silent for a while and then got a new lease must not be taken for one whose
// lease has lapsed.
TEST_F(silent_lease_test, IsForgottenBeforeTheWorkerGetsAnotherOne)
{
    fake_worker &worker = firstBusyWorker();
    first.unreachableWorkers = {worker.info.id};
    world.run(4s);
    EXPECT_NE(world.store.at("cw/workers").back(), '\n');
    first.unreachableWorkers.clear();
    world.run(2s);
    EXPECT_EQ(world.store.at("cw/workers").back(), '\n');
    second.unreachableWorkers = {worker.info.id};
    replace(first, second);
    world.run(12s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// While the store is away, the list cannot be corrected. Until it is, the worker gets no lease that
// a later owner would not know of.
TEST_F(silent_lease_test, IsNotRenewedWhileTheStoreIsAway)
{
    fake_worker &worker = firstBusyWorker();
    first.unreachableWorkers = {worker.info.id};
    world.run(3s);
    world.isStoreDown = true;
    first.unreachableWorkers.clear();
    world.run(1500ms);
    second.unreachableWorkers = {worker.info.id};
    first.isDead = true;
    world.isStoreDown = false;
    world.takeOver(second);
    world.run(12s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The worker was lost without a trace 2 s before its owner, which had not noticed it yet.
TEST_F(silent_lease_test, IsBoundedIfTheOwnerIsKilledTwoSecondsAfterTheLoss)
{
    loseWorker();
    runUntil(2s);
    replace(first, second);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// An owner that was stopped before any poll failed passed on an unreported worker as if it had
// granted it a lease, so that each such owner made its successor wait anew.
TEST_F(silent_lease_test, IsAwaitedOnceByOwnersThatAreStoppedAtOnce)
{
    loseWorker();
    runUntil(1s);
    handOver(first, second);
    std::vector<fake_host *> hosts = {&second, &third, &fourth};
    for (int i = 0; i < 8; ++i)
        hosts.push_back(&world.addHost(fmt::format("host-{}", 5 + i)));
    for (std::size_t i = 0; i + 1 < hosts.size(); ++i) {
        world.run(30ms);
        handOver(*hosts[i], *hosts[i + 1]);
    }
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Hosts that had not seen the clock of the owner that wrote the list counted the lease from their
// own read, so that the time without an owner was added with each change.
TEST_F(silent_lease_test, IsAwaitedOnceByOwnersThatHaveJustStarted)
{
    loseWorker();
    runUntil(300ms);
    fake_host *owner = &first;
    for (int i = 0; i < 8; ++i) {
        fake_host &next = startAfterUnservedElection(*owner);
        world.takeOver(next);
        world.run(50ms);
        owner = &next;
    }
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// The same, if each of the owners is killed before it has heard from any worker.
TEST_F(silent_lease_test, IsAwaitedOnceByOwnersThatAreKilledBeforeTheyHearOfAnyWorker)
{
    loseWorker();
    runUntil(2500ms);
    ASSERT_NE(world.store.at("cw/workers").back(), '\n');
    fake_host *owner = &first;
    for (int i = 0; i < 4; ++i) {
        owner->isDead = true;
        world.run(500ms);
        world.elect();
        world.run(500ms);
        owner = &world.addHost(fmt::format("late-{}", i));
        for (const auto &[id, worker] : world.workers)
            owner->unreachableWorkers.insert(id);
        world.takeOver(*owner);
        world.run(50ms);
    }
    owner->isDead = true;
    world.takeOver(world.addHost("late"));
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// All workers whose clocks could date the list that the second owner found have restarted. What it
// says of a worker that has answered since must not be passed on.
TEST_F(silent_lease_test, IsNotTakenFromAnOlderListOnceTheWorkerHasAnswered)
{
    fake_worker &worker = firstBusyWorker();
    first.unreachableWorkers = {worker.info.id};
    world.run(3s);
    ASSERT_NE(world.store.at("cw/workers").back(), '\n');
    for (auto &[id, other] : world.workers) {
        if (id != worker.info.id)
            world.restartWorker(other);
    }
    replace(first, second);
    world.run(2s);
    ASSERT_EQ(world.store.at("cw/workers").back(), '\n');
    second.unreachableWorkers = {worker.info.id};
    third.unreachableWorkers = {worker.info.id};
    world.run(2200ms);
    ASSERT_NE(world.store.at("cw/workers").back(), '\n');
    replace(second, third);
    world.run(12s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// A poll that waits at a lost worker fails late, so one failed poll has to be enough.
TEST_F(silent_lease_test, IsStoredTwoSecondsAfterTheLoss)
{
    loseWorker();
    runUntil(2s);
    EXPECT_NE(world.store.at("cw/workers").back(), '\n');
}

// A poll fails at once when its connection is reset.
TEST_F(silent_lease_test, IsNotStoredAfterOneFailedPollIfTheWorkerHasJustReported)
{
    fake_worker &worker = firstBusyWorker();
    first.unreachableWorkers = {worker.info.id};
    first.partitionRefusesConnections = true;
    world.run(100ms);
    first.unreachableWorkers.clear();
    world.run(200ms);
    EXPECT_EQ(world.store.at("cw/workers").back(), '\n');
}

namespace {

/// The time from the loss of the worker to that of its owner, in milliseconds.
struct owner_lost_after_worker : silent_lease_test, testing::WithParamInterface<int>
{ };

} // namespace

// A new owner counted the lease of a worker that was not stored as silent from its own election.
TEST_P(owner_lost_after_worker, RunsContinuousTasksElsewhereInTime)
{
    loseWorker();
    runUntil(std::chrono::milliseconds(GetParam()));
    replace(first, second);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(SilentLease, owner_lost_after_worker, testing::Range(0, 5001, 100));

namespace {

/// The times from the loss of the worker to that of its owner, and for which the next owner serves,
/// in milliseconds.
struct two_owners_lost_after_worker : silent_lease_test,
                                      testing::WithParamInterface<std::tuple<int, int>>
{ };

} // namespace

// What the first owner's confirmations had shown was lost with the second owner.
TEST_P(two_owners_lost_after_worker, RunsContinuousTasksElsewhereInTime)
{
    const auto [lostAfterMs, servedMs] = GetParam();
    loseWorker();
    runUntil(std::chrono::milliseconds(lostAfterMs));
    replace(first, second);
    world.run(std::chrono::milliseconds(servedMs));
    replace(second, third);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(SilentLease, two_owners_lost_after_worker,
                         testing::Combine(testing::Range(0, 2001, 250),
                                          testing::Range(0, 3001, 250)));

namespace {

/// The times from the loss of the worker to that of its owner, and for which the next owner serves
/// before it is stopped, in milliseconds.
struct owner_stopped_after_takeover : silent_lease_test,
                                      testing::WithParamInterface<std::tuple<int, int>>
{ };

} // namespace

// An owner that was stopped before the worker's silence showed left no word of what it had
// inherited.
TEST_P(owner_stopped_after_takeover, RunsContinuousTasksElsewhereInTime)
{
    const auto [lostAfterMs, servedMs] = GetParam();
    loseWorker();
    runUntil(std::chrono::milliseconds(lostAfterMs));
    replace(first, second);
    world.run(std::chrono::milliseconds(servedMs));
    handOver(second, third);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(SilentLease, owner_stopped_after_takeover,
                         testing::Combine(testing::Range(0, 2001, 250),
                                          testing::Values(5, 20, 40, 60, 80, 100, 150)));

// The clock of the owner loses 3 s against that of its successor between two confirmations.
TEST_F(silent_lease_test, IsAwaitedByAReaderWhoseClockIsFaster)
{
    owner_confirmation seen = world.lastConfirmation;
    ++seen.number;
    second.confirmations.onConfirmation(
        world.now, {seen, world.formerConfirmation, world.clockMs(world.now) + 3000});
    ++world.lastConfirmation.number;
    world.run(12s);
    fake_worker &worker = firstBusyWorker();
    for (fake_host *host : {&first, &second})
        host->unreachableWorkers = {worker.info.id};
    world.run(2500ms);
    EXPECT_NE(world.store.at("cw/workers").back(), '\n');
    replace(first, second);
    world.run(6s);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

namespace {

/// The time from the loss of the worker to that of its owner, which has stored that it is silent,
/// in milliseconds.
struct owners_lost_after_silent_worker : silent_lease_test, testing::WithParamInterface<int>
{ };

} // namespace

// Each reader of the list counted the time left of a silent worker's lease from its own read.
TEST_P(owners_lost_after_silent_worker, RunContinuousTasksElsewhereInTime)
{
    loseWorker();
    runUntil(std::chrono::milliseconds(GetParam()));
    replace(first, second);
    world.run(300ms);
    replace(second, third);
    runUntil(longestAbsence);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(SilentLease, owners_lost_after_silent_worker,
                         testing::Range(2500, 5001, 100));

namespace {

/// The time from a confirmation of the owner until it is cut off, in milliseconds.
struct owner_cut_off_with_worker : silent_lease_test, testing::WithParamInterface<int>
{ };

} // namespace

// The former owner and one worker reach each other, but nothing else. The next owner must not start
// the worker's tasks elsewhere while the former one can still renew their lease.
TEST_P(owner_cut_off_with_worker, DuplicatesNoRun)
{
    fake_worker &worker = firstBusyWorker();
    worker.clockRate = 1 - maxClockSlowness;
    worker.bootedAt = world.now;
    // The entry names no life, so that the worker stays in use although only its clock is reset.
    worker.info.incarnationStartUnixMs = 0;
    first.core.onWorker(world.now, worker.info);
    worker.leaseUntilMs = 6000;
    world.run(2s + std::chrono::milliseconds(GetParam()));
    first.isStoreUnreachable = true;
    for (const auto &[id, other] : world.workers) {
        if (id != worker.info.id)
            first.unreachableWorkers.insert(id);
    }
    second.unreachableWorkers = {worker.info.id};
    world.run(1200ms);
    world.takeOver(second);
    world.run(12s);
    EXPECT_EQ(runCount(spec), 8U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(SilentLease, owner_cut_off_with_worker, testing::Range(0, 1000, 50));
