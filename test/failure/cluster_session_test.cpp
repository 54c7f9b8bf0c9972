// Guards against two processes using one seat, and against a host that stops although it may go on:
// lost answers, store outages, cut-off hosts, pauses, restarts and more hosts than seats.

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

TEST(Session, EachHostTakesASeatAndASpareOneTakesOverAfterAllRequestsHaveEnded)
{
    cluster_world w(1, oneDataCentre(4, 3));
    w.startAll();
    w.time.runFor(10s);
    EXPECT_EQ(w.usedSeats(0), 3);
    cluster_host *holder = nullptr;
    for (const auto &h : w.hosts)
        holder = w.mayUse(*h) ? h.get() : holder;
    w.crash(*holder);
    w.time.runFor(10s);
    EXPECT_EQ(w.usedSeats(0), 2);
    // At most 5 s for the lease, 5 s until the spare host looks, 1 s for all peers to learn of the
    // claim and 7 s of quarantine.
    w.time.runFor(8s);
    EXPECT_EQ(w.usedSeats(0), 3);
    EXPECT_EQ(w.seatFault, "");
}

TEST(Session, ACleanReleaseLeavesNoQuarantine)
{
    cluster_world w(2, oneDataCentre(2, 1));
    w.startAll();
    w.time.runFor(10s);
    cluster_host &holder = w.mayUse(w.host(0, 0)) ? w.host(0, 0) : w.host(0, 1);
    w.release(holder);
    EXPECT_FALSE(w.mayUse(holder));
    w.time.runFor(100ms);
    EXPECT_TRUE(holder.isReleased);
    w.time.runFor(5s);
    EXPECT_EQ(w.usedSeats(0), 1);
    EXPECT_EQ(w.seatFault, "");
}

TEST(Session, ARestartedHostWaitsUntilItsFormerRequestsHaveEnded)
{
    cluster_world w(3, oneDataCentre(1, 1));
    w.startAll();
    w.time.runFor(1s);
    ASSERT_EQ(w.usedSeats(0), 1);
    w.crash(w.host(0, 0));
    w.start(w.host(0, 0));
    w.time.runFor(9500ms);
    EXPECT_EQ(w.usedSeats(0), 0);
    w.time.runFor(6s);
    EXPECT_EQ(w.usedSeats(0), 1);
    EXPECT_EQ(w.seatFault, "");
}

TEST(Session, AllHostsGoOnWithoutTheStoreAndKeepTheirSeatsAfterwards)
{
    cluster_world w(4, oneDataCentre(3, 3));
    w.startAll();
    w.time.runFor(10s);
    for (const auto &h : w.hosts)
        h->store.isDown = true;
    for (int second = 0; second < 3600; ++second) {
        w.time.runFor(1s);
        ASSERT_EQ(w.usedSeats(0), 3) << second;
    }
    for (const auto &h : w.hosts)
        h->store.isDown = false;
    // The leases have lapsed; each host takes its own seat again without a quarantine.
    w.time.runFor(4s);
    EXPECT_EQ(w.usedSeats(0), 3);
    EXPECT_EQ(w.seatFault, "");
}

TEST(Session, AHostCutOffAloneStopsUnlessItsSeatIsTheOnlyOne)
{
    for (const int seats : {1, 3}) {
        cluster_world w(5, oneDataCentre(seats, seats));
        w.startAll();
        w.time.runFor(10s);
        cluster_host &h = w.host(0, 0);
        h.store.isDown = true;
        h.group = 1;
        w.time.runFor(6s);
        EXPECT_EQ(w.mayUse(h), seats == 1);
        EXPECT_EQ(w.seatFault, "");
    }
}

TEST(Session, AHostThatStartsWithoutTheStoreUsesNoSeat)
{
    cluster_world w(6, oneDataCentre(2, 2));
    for (const auto &h : w.hosts)
        h->store.isDown = true;
    w.startAll();
    w.time.runFor(60s);
    EXPECT_EQ(w.usedSeats(0), 0);
    EXPECT_EQ(w.host(0, 0).session->status(w.time.now()), "no seat: the store does not answer");
}

// A process that wakes must not use its seat before somebody has confirmed it; the old messages and
// answers that it finds first prove nothing.
TEST(Session, APausedProcessUsesNothingUntilConfirmed)
{
    cluster_world w(7, oneDataCentre(3, 3));
    w.startAll();
    w.time.runFor(10s);
    cluster_host &h = w.host(0, 1);
    ASSERT_TRUE(w.mayUse(h));
    h.store.minDelay = h.store.maxDelay = 100ms;
    w.pause(h, 2500ms);
    w.time.runFor(2510ms);
    EXPECT_FALSE(w.mayUse(h));
    w.time.runFor(1s);
    EXPECT_TRUE(w.mayUse(h));
    // With the store gone, a peer confirms the seat.
    h.store.isDown = true;
    w.pause(h, 2500ms);
    w.time.runFor(2500ms);
    EXPECT_FALSE(w.mayUse(h));
    w.time.runFor(3s);
    EXPECT_TRUE(w.mayUse(h));
    EXPECT_EQ(w.seatFault, "");
}

// The store is reachable from one side of a split data centre only. The holder on the other side
// goes on with a peer; the spare host must not use the seat that it takes over.
TEST(Session, ATakenSeatIsNotUsedWhileTheFormerHolderMayGoOn)
{
    cluster_world w(8, oneDataCentre(3, 2));
    w.startAll();
    w.time.runFor(10s);
    cluster_host *spare = nullptr;
    for (const auto &h : w.hosts)
        spare = w.mayUse(*h) ? spare : h.get();
    for (const auto &h : w.hosts) {
        if (h.get() != spare) {
            h->store.isDown = true;
            h->group = 1;
        }
    }
    w.time.runFor(60s);
    EXPECT_EQ(w.usedSeats(0), 2);
    EXPECT_FALSE(w.mayUse(*spare));
    for (const auto &h : w.hosts)
        h->group = 0;
    w.time.runFor(20s);
    // One former holder has learned that its seat is taken; the other one goes on.
    EXPECT_TRUE(w.mayUse(*spare));
    EXPECT_EQ(w.usedSeats(0), 2);
    EXPECT_EQ(w.seatFault, "");
}

// A peer that restarts has forgotten which seats were taken. It must not confirm the seat of a host
// that another one has replaced: neither without the store, nor from a store in which the
// replacement has just lapsed.
TEST(Session, ARestartedPeerDoesNotConfirmASeatThatWasTakenOver)
{
    for (const bool hasStore : {false, true}) {
        SCOPED_TRACE(hasStore);
        cluster_world w(2, oneDataCentre(3, 2));
        w.startAll();
        w.time.runFor(10s);
        cluster_host *spare = nullptr;
        for (const auto &h : w.hosts)
            spare = w.mayUse(*h) ? spare : h.get();
        cluster_host *former = spare == &w.host(0, 0) ? &w.host(0, 1) : &w.host(0, 0);
        cluster_host *peer = nullptr;
        for (const auto &h : w.hosts)
            peer = h.get() != spare && h.get() != former ? h.get() : peer;
        former->store.isDown = true;
        former->group = 1;
        w.time.runFor(30s);
        ASSERT_TRUE(w.mayUse(*spare));
        ASSERT_FALSE(w.mayUse(*former));
        w.crash(*peer);
        peer->group = 1;
        peer->store.isDown = !hasStore;
        spare->store.isDown = hasStore;
        w.time.runFor(hasStore ? 5s : 100ms);
        w.start(*peer);
        w.time.runFor(4s);
        EXPECT_FALSE(w.mayUse(*former));
        EXPECT_EQ(w.seatFault, "");
    }
}

TEST(Session, HostsWithAnotherNumberOfSeatsDoNotMix)
{
    cluster_world w(9, oneDataCentre(2, 3));
    w.start(w.host(0, 0));
    w.time.runFor(1s);
    w.options.seats = 2;
    w.start(w.host(0, 1));
    w.time.runFor(10s);
    EXPECT_EQ(w.usedSeats(0), 1);
    EXPECT_EQ(w.host(0, 1).session->status(w.time.now()),
              "no seat: another host splits the runners by a number of seats other than 2");
}

// Crashes, restarts, pauses, partitions within the data centre, cut-off stores and releases at
// random, with loss, delay, repetition and reordering. The harness checks after each event that no
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
        cluster_world w(seed, o);
        w.startAll();
        for (int step = 0; step < 80; ++step) {
            cluster_host &h = *w.hosts[w.random.below(w.hosts.size())];
            switch (w.random.below(6)) {
            case 0:
                h.incarnationNumber != 0 ? w.crash(h) : w.start(h);
                break;
            case 1:
                h.store.isDown = !h.store.isDown;
                break;
            case 2:
                h.group = int(w.random.below(2));
                break;
            case 3:
                if (w.isRunning(h))
                    w.pause(h, duration(std::int64_t(w.random.below(15'000'000))));
                break;
            case 4:
                if (w.isRunning(h) && w.random.below(4) == 0)
                    w.release(h);
                break;
            default:
                h.store.maxDelay = duration(std::int64_t(w.random.below(1'500'000)));
            }
            w.time.runFor(duration(std::int64_t(w.random.below(8'000'000))));
        }
        EXPECT_EQ(w.seatFault, "");
        grants += w.seatGrants;
        // Lets releases end that have begun.
        w.time.runFor(20s);
        for (const auto &h : w.hosts) {
            h->store = path_faults();
            h->group = 0;
            if (h->incarnationNumber == 0 || h->isReleased)
                w.start(*h);
        }
        w.options.loss = 0;
        w.time.runFor(60s);
        EXPECT_EQ(w.usedSeats(0), seats);
        EXPECT_EQ(w.seatFault, "");
    }
    EXPECT_GT(grants, 150);
}
