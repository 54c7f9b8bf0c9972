// Guards against failures that are found late, hosts that are declared dead although they run, and
// views that stay apart after a partition. All is counted in virtual time over a seeded network;
// cluster_scale_benchmark prints the same figures for more hosts and longer runs.

#include "failure/cluster_harness.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::cluster_test;

namespace {

cluster_options fleet(int dataCentres, int hosts, double loss)
{
    cluster_options o;
    o.dataCentres = dataCentres;
    o.hostsPerDataCentre = hosts;
    o.seats = std::min(hosts, 8);
    o.loss = loss;
    return o;
}

} // namespace

TEST(Membership, AllHostsFindEachOtherFromTheSettingsAlone)
{
    cluster_options o = fleet(9, 3, 0);
    o.hasHostList = false;
    cluster_world w(1, o);
    w.startAll();
    w.time.runFor(12s);
    EXPECT_TRUE(w.isConverged());
}

TEST(Membership, ADeadHostIsKnownToItsDataCentreWithin3Seconds)
{
    for (std::uint64_t seed = 1; seed <= 11; ++seed) {
        SCOPED_TRACE(seed);
        cluster_world w(seed, fleet(2, 2 + int(seed % 11), 0));
        w.startAll();
        w.time.runFor(12s + duration(std::int64_t(w.random.below(1'000'000))));
        ASSERT_TRUE(w.isConverged());
        cluster_host &dead = w.host(0, 1);
        w.crash(dead);
        w.time.runFor(3s);
        for (int i = 0; i < w.options.hostsPerDataCentre; ++i) {
            EXPECT_TRUE(i == 1 || w.sees(w.host(0, i), dead, member_state::dead)) << i;
        }
    }
}

TEST(Membership, NoRunningHostIsDeclaredDeadUnderLoss)
{
    cluster_world w(3, fleet(6, 2, 0.05));
    w.startAll();
    w.time.runFor(30s);
    w.falseDeaths = 0;
    w.time.runFor(120s);
    EXPECT_EQ(w.falseDeaths, 0);
    EXPECT_TRUE(w.isConverged());
}

// A process that did not run for a while must not take its peers for dead when it wakes.
TEST(Membership, AHostThatWakesDeclaresNobodyDead)
{
    cluster_world w(4, fleet(2, 3, 0));
    w.startAll();
    w.time.runFor(20s);
    w.falseDeaths = 0;
    w.pause(w.host(0, 0), 20s);
    w.time.runFor(40s);
    EXPECT_EQ(w.falseDeaths, 0);
    EXPECT_TRUE(w.isConverged());
}

// A suspicion that runs out while the process does not run says nothing: the refutation may wait in
// a socket.
TEST(Membership, ASuspicionDoesNotRunOutDuringAPause)
{
    membership_settings settings;
    settings.self = {"a"};
    settings.dataCentre = {"dc"};
    membership_core core(settings);
    instant now{3600s};
    core.handle({now, cluster_tick()});
    member_report peer;
    peer.host = {"b"};
    peer.dataCentre = {"dc"};
    peer.state = member_state::suspect;
    core.handle({now, membership_peer_message{{"b"}, membership_probe{0, {{peer}, false, {}}}}});
    now += 20s;
    core.handle({now, cluster_tick()});
    EXPECT_EQ(core.members().at({"b"}).report.state, member_state::suspect);
    peer.state = member_state::alive;
    peer.refutation = 1;
    core.handle({now, membership_peer_message{{"b"}, membership_probe{0, {{peer}, false, {}}}}});
    core.handle({now + 1600ms, cluster_tick()});
    EXPECT_EQ(core.members().at({"b"}).report.state, member_state::alive);
}

TEST(Membership, ARestartedHostReplacesItsFormerLife)
{
    cluster_world w(5, fleet(1, 3, 0));
    w.startAll();
    w.time.runFor(20s);
    cluster_host &h = w.host(0, 2);
    w.crash(h);
    w.time.runFor(100ms);
    w.start(h);
    w.time.runFor(3s);
    EXPECT_EQ(w.host(0, 0).membership->members().at(h.name).report.incarnationNumber,
              h.incarnationNumber);
    EXPECT_TRUE(w.isConverged());
}

TEST(Membership, AHostThatLeavesIsNotSuspected)
{
    cluster_world w(6, fleet(2, 3, 0));
    w.startAll();
    w.time.runFor(20s);
    w.release(w.host(0, 0));
    w.time.runFor(100ms);
    EXPECT_TRUE(w.sees(w.host(1, 0), w.host(0, 0), member_state::left));
    w.time.runFor(70s);
    EXPECT_TRUE(w.isConverged());
}

TEST(Membership, LoadAndExpectedWaitsReachTheOtherDataCentres)
{
    cluster_world w(7, fleet(9, 3, 0));
    w.startAll();
    w.time.runFor(20s);
    const member &m = w.host(8, 0).membership->members().at(w.host(0, 0).name);
    EXPECT_EQ(m.report.loadPercent, 50);
    EXPECT_EQ(membership_core::expectedWait(m, {"drift-check"}), duration(20ms));
    EXPECT_FALSE(membership_core::expectedWait(m, {"unheard-of"}));
    EXPECT_TRUE(m.report.seat);
}

TEST(Membership, ViewsConvergeWithin12SecondsOfA10MinutePartition)
{
    cluster_options o = fleet(4, 2, 0);
    o.isEncoded = true;
    cluster_world w(8, o);
    w.startAll();
    w.time.runFor(30s);
    const auto bytesIn = [&](duration length) {
        for (const auto &h : w.hosts)
            h->bytes = 0;
        w.time.runFor(length);
        std::int64_t most = 0;
        for (const auto &h : w.hosts)
            most = std::max(most, h->bytes);
        return most;
    };
    const std::int64_t atRest = bytesIn(10s) / 10;
    for (const auto &h : w.hosts)
        h->group = h->dataCentreIndex / 3;
    w.options.isEncoded = false;
    w.time.runFor(600s);
    w.options.isEncoded = true;
    for (const auto &h : w.hosts)
        h->group = 0;
    std::int64_t peak = 0;
    for (int second = 0; second < 12; ++second)
        peak = std::max(peak, bytesIn(1s));
    EXPECT_TRUE(w.isConverged());
    EXPECT_LE(peak, 3 * atRest);
    EXPECT_LE(atRest, 21 * 1024);
}

TEST(Membership, AConfigurationIsInForceWithin3SecondsInADataCentreAnd12Everywhere)
{
    for (std::uint64_t seed = 1; seed <= 1; ++seed) {
        SCOPED_TRACE(seed);
        cluster_world w(seed, fleet(9, 3, 0.05));
        w.put(1);
        w.startAll();
        w.time.runFor(30s);
        ASSERT_TRUE(w.areAllAt(1));
        w.put(2);
        w.time.runFor(12s);
        EXPECT_TRUE(w.areAllAt(2));
    }
}
