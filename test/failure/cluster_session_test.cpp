// Guards against two processes that use one seat, and against a host that stops using its seat
// without need, under lost answers, store outages, partitions, pauses, restarts and more hosts than
// seats.

#include "failure/cluster_harness.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::cluster_test;

namespace {

cluster_options oneDataCentre(int hosts, int seats)
{
    cluster_options o;
    o.hostsPerDataCentre = hosts;
    o.seats = seats;
    return o;
}

} // namespace

TEST(Session, EachHostClaimsASeatAndASpareOneTakesOverAfterAllRequestsHaveEnded)
{
    cluster_simulation sim(1, oneDataCentre(4, 3));
    sim.startAll();
    sim.time.runFor(10s);
    EXPECT_EQ(sim.usedSeats(0), 3);
    cluster_host *holder = nullptr;
    for (const auto &h : sim.hosts)
        holder = sim.mayUse(*h) ? h.get() : holder;
    sim.crash(*holder);
    sim.time.runFor(10s);
    EXPECT_EQ(sim.usedSeats(0), 2);
    // The takeover needs at most 5 s until the lease expires, 5 s until the spare host reads the
    // seats, 1 s until all peers know the claim and 7 s of quarantine.
    sim.time.runFor(8s);
    EXPECT_EQ(sim.usedSeats(0), 3);
    EXPECT_EQ(sim.seatFault, "");
}

TEST(Session, ACleanReleaseLeavesNoQuarantine)
{
    cluster_simulation sim(2, oneDataCentre(2, 1));
    sim.startAll();
    sim.time.runFor(10s);
    cluster_host &holder = sim.mayUse(sim.host(0, 0)) ? sim.host(0, 0) : sim.host(0, 1);
    sim.release(holder);
    EXPECT_FALSE(sim.mayUse(holder));
    sim.time.runFor(100ms);
    EXPECT_TRUE(holder.isReleased);
    sim.time.runFor(5s);
    EXPECT_EQ(sim.usedSeats(0), 1);
    EXPECT_EQ(sim.seatFault, "");
}

TEST(Session, ARestartedHostWaitsUntilItsFormerRequestsHaveEnded)
{
    cluster_simulation sim(3, oneDataCentre(1, 1));
    sim.startAll();
    sim.time.runFor(1s);
    ASSERT_EQ(sim.usedSeats(0), 1);
    sim.crash(sim.host(0, 0));
    sim.start(sim.host(0, 0));
    sim.time.runFor(9500ms);
    EXPECT_EQ(sim.usedSeats(0), 0);
    sim.time.runFor(6s);
    EXPECT_EQ(sim.usedSeats(0), 1);
    EXPECT_EQ(sim.seatFault, "");
}

TEST(Session, AllHostsGoOnWithoutTheStoreAndKeepTheirSeatsAfterwards)
{
    cluster_simulation sim(4, oneDataCentre(3, 3));
    sim.startAll();
    sim.time.runFor(10s);
    for (const auto &h : sim.hosts)
        h->store.isDown = true;
    for (int second = 0; second < 3600; ++second) {
        sim.time.runFor(1s);
        ASSERT_EQ(sim.usedSeats(0), 3) << second;
    }
    for (const auto &h : sim.hosts)
        h->store.isDown = false;
    // The leases have expired; each host claims its former seat again without a quarantine.
    sim.time.runFor(4s);
    EXPECT_EQ(sim.usedSeats(0), 3);
    EXPECT_EQ(sim.seatFault, "");
}

TEST(Session, AnIsolatedHostStopsUnlessItsSeatIsTheOnlyOne)
{
    for (const int seats : {1, 3}) {
        cluster_simulation sim(5, oneDataCentre(seats, seats));
        sim.startAll();
        sim.time.runFor(10s);
        cluster_host &h = sim.host(0, 0);
        h.store.isDown = true;
        h.partition = 1;
        sim.time.runFor(6s);
        EXPECT_EQ(sim.mayUse(h), seats == 1);
        EXPECT_EQ(sim.seatFault, "");
    }
}

TEST(Session, AHostThatStartsWithoutTheStoreUsesNoSeat)
{
    cluster_simulation sim(6, oneDataCentre(2, 2));
    for (const auto &h : sim.hosts)
        h->store.isDown = true;
    sim.startAll();
    sim.time.runFor(60s);
    EXPECT_EQ(sim.usedSeats(0), 0);
    EXPECT_EQ(sim.host(0, 0).session->status(sim.time.now()), "no seat: the store does not answer");
}

// A process that resumes after a pause must not use its seat before the store or a peer has
// confirmed it. Messages and answers from before the pause are no evidence.
TEST(Session, APausedProcessUsesNothingUntilConfirmed)
{
    cluster_simulation sim(7, oneDataCentre(3, 3));
    sim.startAll();
    sim.time.runFor(10s);
    cluster_host &h = sim.host(0, 1);
    ASSERT_TRUE(sim.mayUse(h));
    h.store.minDelay = h.store.maxDelay = 100ms;
    sim.pause(h, 2500ms);
    sim.time.runFor(2510ms);
    EXPECT_FALSE(sim.mayUse(h));
    sim.time.runFor(1s);
    EXPECT_TRUE(sim.mayUse(h));
    // While the store is unreachable, a peer confirms the seat.
    h.store.isDown = true;
    sim.pause(h, 2500ms);
    sim.time.runFor(2500ms);
    EXPECT_FALSE(sim.mayUse(h));
    sim.time.runFor(3s);
    EXPECT_TRUE(sim.mayUse(h));
    EXPECT_EQ(sim.seatFault, "");
}

// The data centre is partitioned, and only one side reaches the store. The holder on the other side
// keeps using its seat with the confirmation of a peer, so the spare host must not use the seat
// that it has claimed.
TEST(Session, ATakenSeatIsNotUsedWhileTheFormerHolderMayGoOn)
{
    cluster_simulation sim(8, oneDataCentre(3, 2));
    sim.startAll();
    sim.time.runFor(10s);
    cluster_host *spare = nullptr;
    for (const auto &h : sim.hosts)
        spare = sim.mayUse(*h) ? spare : h.get();
    for (const auto &h : sim.hosts) {
        if (h.get() != spare) {
            h->store.isDown = true;
            h->partition = 1;
        }
    }
    sim.time.runFor(60s);
    EXPECT_EQ(sim.usedSeats(0), 2);
    EXPECT_FALSE(sim.mayUse(*spare));
    for (const auto &h : sim.hosts)
        h->partition = 0;
    sim.time.runFor(20s);
    // One former holder has learned that its seat is claimed; the other one still uses its seat.
    EXPECT_TRUE(sim.mayUse(*spare));
    EXPECT_EQ(sim.usedSeats(0), 2);
    EXPECT_EQ(sim.seatFault, "");
}

// A peer that restarts has lost its knowledge of the claims. It must not confirm the seat of a host
// that another host has replaced, neither without the store nor from a store in which the lease of
// the replacement has just expired.
TEST(Session, ARestartedPeerDoesNotConfirmASeatThatWasTakenOver)
{
    for (const bool hasStore : {false, true}) {
        SCOPED_TRACE(hasStore);
        cluster_simulation sim(2, oneDataCentre(3, 2));
        sim.startAll();
        sim.time.runFor(10s);
        cluster_host *spare = nullptr;
        for (const auto &h : sim.hosts)
            spare = sim.mayUse(*h) ? spare : h.get();
        cluster_host *former = spare == &sim.host(0, 0) ? &sim.host(0, 1) : &sim.host(0, 0);
        cluster_host *peer = nullptr;
        for (const auto &h : sim.hosts)
            peer = h.get() != spare && h.get() != former ? h.get() : peer;
        former->store.isDown = true;
        former->partition = 1;
        sim.time.runFor(30s);
        ASSERT_TRUE(sim.mayUse(*spare));
        ASSERT_FALSE(sim.mayUse(*former));
        sim.crash(*peer);
        peer->partition = 1;
        peer->store.isDown = !hasStore;
        spare->store.isDown = hasStore;
        sim.time.runFor(hasStore ? 5s : 100ms);
        sim.start(*peer);
        sim.time.runFor(4s);
        EXPECT_FALSE(sim.mayUse(*former));
        EXPECT_EQ(sim.seatFault, "");
    }
}

TEST(Session, HostsWithDifferentSeatCountsShareNoSeats)
{
    cluster_simulation sim(9, oneDataCentre(2, 3));
    sim.start(sim.host(0, 0));
    sim.time.runFor(1s);
    sim.options.seats = 2;
    sim.start(sim.host(0, 1));
    sim.time.runFor(10s);
    EXPECT_EQ(sim.usedSeats(0), 1);
    EXPECT_EQ(sim.host(0, 1).session->status(sim.time.now()),
              "no seat: another host splits the runners by a number of seats other than 2");
}

// Random crashes, restarts, pauses, partitions within the data centre, store outages and releases,
// with message loss, delay, duplication and reordering. The harness checks after each event that no
// two processes may use one seat.
TEST(Session, NoSeatIsUsedTwiceUnderRandomFaults)
{
    int grants = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        SCOPED_TRACE(seed);
        const int seats = 1 + int(seed % 3);
        cluster_options o = oneDataCentre(seats + int(seed / 3 % 3), seats);
        o.loss = 0.05;
        o.duplication = 0.05;
        cluster_simulation sim(seed, o);
        sim.startAll();
        for (int step = 0; step < 80; ++step) {
            cluster_host &h = *sim.hosts[sim.random.below(sim.hosts.size())];
            switch (sim.random.below(6)) {
            case 0:
                h.incarnationNumber != 0 ? sim.crash(h) : sim.start(h);
                break;
            case 1:
                h.store.isDown = !h.store.isDown;
                break;
            case 2:
                h.partition = int(sim.random.below(2));
                break;
            case 3:
                if (sim.isRunning(h))
                    sim.pause(h, duration(std::int64_t(sim.random.below(15'000'000))));
                break;
            case 4:
                if (sim.isRunning(h) && sim.random.below(4) == 0)
                    sim.release(h);
                break;
            default:
                h.store.maxDelay = duration(std::int64_t(sim.random.below(1'500'000)));
            }
            sim.time.runFor(duration(std::int64_t(sim.random.below(8'000'000))));
        }
        EXPECT_EQ(sim.seatFault, "");
        grants += sim.seatGrants;
        // Lets releases in progress complete.
        sim.time.runFor(20s);
        for (const auto &h : sim.hosts) {
            h->store = path_faults();
            h->partition = 0;
            if (h->incarnationNumber == 0 || h->isReleased)
                sim.start(*h);
        }
        sim.options.loss = 0;
        sim.time.runFor(60s);
        EXPECT_EQ(sim.usedSeats(0), seats);
        EXPECT_EQ(sim.seatFault, "");
    }
    EXPECT_GT(grants, 150);
}
