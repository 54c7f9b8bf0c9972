// Guards against a host that falls back to a lower revision, that stays behind, or that starts
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

TEST(Config, OneHostOfEachDataCentreWatchesAndTheNextStandsIn)
{
    cluster_world w(1, fleet(3, 3));
    w.put(1);
    w.startAll();
    w.time.runFor(10s);
    EXPECT_TRUE(w.areAllAt(1));
    EXPECT_EQ(w.watcherCount(), 3);
    EXPECT_NE(w.hosts[0]->watch, 0);
    // The watcher loses the store without its watch noticing.
    w.hosts[0]->store.isDown = true;
    w.time.runFor(70s);
    EXPECT_NE(w.hosts[1]->watch, 0);
    w.put(2);
    w.time.runFor(2s);
    EXPECT_TRUE(w.areAllAt(2));
    w.hosts[0]->store.isDown = false;
    w.time.runFor(30s);
    EXPECT_EQ(w.watcherCount(), 3);
}

TEST(Config, AtRestFewCallsReachTheStore)
{
    cluster_world w(2, fleet(9, 3));
    w.put(1);
    w.startAll();
    w.time.runFor(30s);
    w.storeCalls = w.configCalls = 0;
    w.time.runFor(60s);
    // Nine watchers verify once a minute.
    EXPECT_LE(w.configCalls, 9 * 2);
    EXPECT_LE(w.storeCalls, 20 * 60);
}

TEST(Config, AHostThatStartsWithoutStoreTakesACopyAndOneWithoutPeersSaysWhyItIsNotReady)
{
    cluster_world w(3, fleet(1, 3));
    w.put(5);
    w.start(*w.hosts[0]);
    w.time.runFor(10s);
    w.hosts[1]->store.isDown = true;
    w.hosts[2]->store.isDown = true;
    w.hosts[2]->group = 1;
    w.start(*w.hosts[1]);
    w.start(*w.hosts[2]);
    w.time.runFor(10s);
    EXPECT_EQ(w.hosts[1]->config->revision(), 5);
    EXPECT_EQ(w.hosts[1]->config->notReadyReason(), "");
    EXPECT_EQ(w.hosts[2]->config->notReadyReason(),
              "no configuration yet: the store does not answer, and no peer is known");
}

// Guards against a start from a stale replica's answer although a peer has a higher revision.
TEST(Config, AStartTakesTheHighestOfStoreAndPeers)
{
    cluster_world w(4, fleet(1, 2));
    w.put(1);
    const auto old = w.store.entries();
    w.put(2);
    w.start(*w.hosts[0]);
    w.time.runFor(10s);
    w.store.staleEntries = old;
    // The store answers before any peer can.
    w.hosts[1]->store.minDelay = w.hosts[1]->store.maxDelay = 10us;
    w.start(*w.hosts[1]);
    w.time.runFor(1s);
    EXPECT_EQ(w.hosts[1]->inForce, (std::vector<std::int64_t>{2}));
    w.time.runFor(120s);
    EXPECT_TRUE(w.areAllAt(2));
}

TEST(Config, KeepsItsConfigurationIfTheStoreHoldsRubbish)
{
    cluster_world w(5, fleet(1, 3));
    w.put(1);
    w.startAll();
    w.time.runFor(10s);
    w.store.apply(store_transaction{{}, {{configCurrentKey, "{", 0}}, {}, {}});
    w.time.runFor(100s);
    EXPECT_TRUE(w.areAllAt(1));
    w.put(2);
    w.time.runFor(100s);
    EXPECT_TRUE(w.areAllAt(2));
}

// Guards against a watch that stalls silently: the periodic read finds the change.
TEST(Config, FindsAChangeThatTheWatchMissed)
{
    cluster_world w(6, fleet(1, 1));
    w.put(1);
    w.start(*w.hosts[0]);
    w.time.runFor(10s);
    w.hosts[0]->store.loss = 1;
    w.put(2);
    w.hosts[0]->store.loss = 0;
    w.time.runFor(61s);
    EXPECT_TRUE(w.areAllAt(2));
}

// Publications, restarts, cut-off hosts, store outages and a stale replica at random. After each
// event no revision has gone down (checked in the harness); after the faults end all converge.
TEST(Config, ConvergesAndNeverRevertsUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(seed);
        cluster_options o = fleet(3, 3, 0.05);
        o.duplication = 0.05;
        cluster_world w(seed, o);
        for (const auto &h : w.hosts)
            h->store = {0.05, 0, 1ms, 300ms, false};
        std::int64_t revision = 1;
        w.put(revision);
        w.startAll();
        for (int step = 0; step < 120; ++step) {
            cluster_host &h = *w.hosts[w.random.below(w.hosts.size())];
            switch (w.random.below(6)) {
            case 0:
                w.put(++revision);
                break;
            case 1:
                h.incarnationNumber != 0 ? w.crash(h) : w.start(h);
                break;
            case 2:
                h.group = int(w.random.below(2));
                break;
            case 3:
                h.store.isDown = !h.store.isDown;
                break;
            case 4:
                w.store.staleEntries = w.store.entries();
                break;
            default:
                w.store.staleEntries.reset();
            }
            w.time.runFor(duration(std::int64_t(w.random.below(3'000'000))));
        }
        w.store.staleEntries.reset();
        for (const auto &h : w.hosts) {
            h->group = 0;
            h->store.isDown = false;
            if (h->incarnationNumber == 0)
                w.start(*h);
        }
        w.time.runFor(12s);
        EXPECT_TRUE(w.areAllAt(revision));
    }
}
