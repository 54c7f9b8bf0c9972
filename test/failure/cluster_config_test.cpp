// Guards against a host that reverts to a lower revision, that does not catch up, or that starts
// without a configuration although a peer has one.

#include "failure/cluster_harness.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::cluster_test;

namespace {

cluster_options fleet(int dataCentres, int hosts, double loss = 0)
{
    cluster_options o;
    o.dataCentres = dataCentres;
    o.hostsPerDataCentre = hosts;
    o.loss = loss;
    return o;
}

} // namespace

TEST(Config, OneHostOfEachDataCentreWatchesAndTheNextInRankReplacesIt)
{
    cluster_simulation sim(1, fleet(3, 3));
    sim.put(1);
    sim.startAll();
    sim.time.runFor(10s);
    EXPECT_TRUE(sim.areAllAtRevision(1));
    EXPECT_EQ(sim.watcherCount(), 3);
    EXPECT_NE(sim.hosts[0]->watch, 0);
    // The watcher loses the store, but its watch does not report that.
    sim.hosts[0]->store.isDown = true;
    sim.time.runFor(70s);
    EXPECT_NE(sim.hosts[1]->watch, 0);
    sim.put(2);
    sim.time.runFor(2s);
    EXPECT_TRUE(sim.areAllAtRevision(2));
    sim.hosts[0]->store.isDown = false;
    sim.time.runFor(30s);
    EXPECT_EQ(sim.watcherCount(), 3);
}

TEST(Config, MakesFewStoreCallsWhenIdle)
{
    cluster_simulation sim(2, fleet(9, 3));
    sim.put(1);
    sim.startAll();
    sim.time.runFor(30s);
    sim.storeCalls = sim.configCalls = 0;
    sim.time.runFor(60s);
    // Each of the nine watchers rereads the key once a minute.
    EXPECT_LE(sim.configCalls, 9 * 2);
    EXPECT_LE(sim.storeCalls, 20 * 60);
}

TEST(Config, AHostThatStartsWithoutStoreCopiesFromAPeerAndOneWithoutPeersReportsWhyItIsNotReady)
{
    cluster_simulation sim(3, fleet(1, 3));
    sim.put(5);
    sim.start(*sim.hosts[0]);
    sim.time.runFor(10s);
    sim.hosts[1]->store.isDown = true;
    sim.hosts[2]->store.isDown = true;
    sim.hosts[2]->partition = 1;
    sim.start(*sim.hosts[1]);
    sim.start(*sim.hosts[2]);
    sim.time.runFor(10s);
    EXPECT_EQ(sim.hosts[1]->config->revision(), 5);
    EXPECT_EQ(sim.hosts[1]->config->notReadyReason(), "");
    EXPECT_EQ(sim.hosts[2]->config->notReadyReason(),
              "no configuration yet: the store does not answer, and no peer is known");
}

// Guards against a host that starts with the revision from a stale store replica although a peer
// has a higher one.
TEST(Config, AStartTakesTheHighestOfStoreAndPeers)
{
    cluster_simulation sim(4, fleet(1, 2));
    sim.put(1);
    const auto old = sim.store.entries();
    sim.put(2);
    sim.start(*sim.hosts[0]);
    sim.time.runFor(10s);
    sim.store.staleEntries = old;
    // The store answers before any peer does.
    sim.hosts[1]->store.minDelay = sim.hosts[1]->store.maxDelay = 10us;
    sim.start(*sim.hosts[1]);
    sim.time.runFor(1s);
    EXPECT_EQ(sim.hosts[1]->revisionsInEffect, (std::vector<std::int64_t>{2}));
    sim.time.runFor(120s);
    EXPECT_TRUE(sim.areAllAtRevision(2));
}

TEST(Config, KeepsItsConfigurationIfTheStoreHoldsAnInvalidValue)
{
    cluster_simulation sim(5, fleet(1, 3));
    sim.put(1);
    sim.startAll();
    sim.time.runFor(10s);
    sim.store.apply(store_transaction{{}, {{configCurrentKey, "{", 0}}, {}, {}});
    sim.time.runFor(100s);
    EXPECT_TRUE(sim.areAllAtRevision(1));
    sim.put(2);
    sim.time.runFor(100s);
    EXPECT_TRUE(sim.areAllAtRevision(2));
}

// Guards against a watch that stalls silently; the periodic read must find the change.
TEST(Config, FindsAChangeThatTheWatchMissed)
{
    cluster_simulation sim(6, fleet(1, 1));
    sim.put(1);
    sim.start(*sim.hosts[0]);
    sim.time.runFor(10s);
    sim.hosts[0]->store.loss = 1;
    sim.put(2);
    sim.hosts[0]->store.loss = 0;
    sim.time.runFor(61s);
    EXPECT_TRUE(sim.areAllAtRevision(2));
}

// Random publications, restarts, partitions, store outages and stale reads. The revision in effect
// must never decrease, and all hosts must converge once the faults have ended.
TEST(Config, ConvergesAndNeverRevertsUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(seed);
        cluster_options o = fleet(3, 3, 0.05);
        o.duplication = 0.05;
        cluster_simulation sim(seed, o);
        for (const auto &h : sim.hosts)
            h->store = {0.05, 0, 1ms, 300ms, false};
        std::int64_t revision = 1;
        sim.put(revision);
        sim.startAll();
        for (int step = 0; step < 120; ++step) {
            cluster_host &h = *sim.hosts[sim.random.below(sim.hosts.size())];
            switch (sim.random.below(6)) {
            case 0:
                sim.put(++revision);
                break;
            case 1:
                h.incarnationNumber != 0 ? sim.crash(h) : sim.start(h);
                break;
            case 2:
                h.partition = int(sim.random.below(2));
                break;
            case 3:
                h.store.isDown = !h.store.isDown;
                break;
            case 4:
                sim.store.staleEntries = sim.store.entries();
                break;
            default:
                sim.store.staleEntries.reset();
            }
            sim.time.runFor(duration(std::int64_t(sim.random.below(3'000'000))));
        }
        sim.store.staleEntries.reset();
        for (const auto &h : sim.hosts) {
            h->partition = 0;
            h->store.isDown = false;
            if (h->incarnationNumber == 0)
                sim.start(*h);
        }
        sim.time.runFor(12s);
        EXPECT_TRUE(sim.areAllAtRevision(revision));
    }
}
