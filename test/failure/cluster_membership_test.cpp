// Guards against failures that are detected late, running hosts that are declared dead, and views
// that do not converge after a partition. All times are virtual, over a seeded network;
// cluster_scale_benchmark prints the same measurements for more hosts and longer runs.

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
    cluster_simulation sim(1, o);
    sim.startAll();
    sim.time.runFor(12s);
    EXPECT_TRUE(sim.isConverged());
}

TEST(Membership, ADeadHostIsKnownToItsDataCentreWithin3Seconds)
{
    for (std::uint64_t seed = 1; seed <= 11; ++seed) {
        SCOPED_TRACE(seed);
        cluster_simulation sim(seed, fleet(2, 2 + int(seed % 11), 0));
        sim.startAll();
        sim.time.runFor(12s + duration(std::int64_t(sim.random.below(1'000'000))));
        ASSERT_TRUE(sim.isConverged());
        cluster_host &dead = sim.host(0, 1);
        sim.crash(dead);
        sim.time.runFor(3s);
        for (int i = 0; i < sim.options.hostsPerDataCentre; ++i) {
            EXPECT_TRUE(i == 1 || sim.hasMemberInState(sim.host(0, i), dead, member_state::dead))
                << i;
        }
    }
}

TEST(Membership, NoRunningHostIsDeclaredDeadUnderLoss)
{
    cluster_simulation sim(3, fleet(6, 2, 0.05));
    sim.startAll();
    sim.time.runFor(30s);
    sim.falseDeathCount = 0;
    sim.time.runFor(120s);
    EXPECT_EQ(sim.falseDeathCount, 0);
    EXPECT_TRUE(sim.isConverged());
}

// A process that was suspended must not declare its peers dead when it resumes.
TEST(Membership, AHostThatResumesDeclaresNoPeerDead)
{
    cluster_simulation sim(4, fleet(2, 3, 0));
    sim.startAll();
    sim.time.runFor(20s);
    sim.falseDeathCount = 0;
    sim.pause(sim.host(0, 0), 20s);
    sim.time.runFor(40s);
    EXPECT_EQ(sim.falseDeathCount, 0);
    EXPECT_TRUE(sim.isConverged());
}

// A suspicion whose deadline passes while the process is suspended must not turn into a death,
// because the refutation may still be unread in a socket.
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

TEST(Membership, ARestartedHostReplacesItsFormerIncarnation)
{
    cluster_simulation sim(5, fleet(1, 3, 0));
    sim.startAll();
    sim.time.runFor(20s);
    cluster_host &h = sim.host(0, 2);
    sim.crash(h);
    sim.time.runFor(100ms);
    sim.start(h);
    sim.time.runFor(3s);
    EXPECT_EQ(sim.host(0, 0).membership->members().at(h.name).report.incarnationNumber,
              h.incarnationNumber);
    EXPECT_TRUE(sim.isConverged());
}

TEST(Membership, AHostThatLeavesIsNotSuspected)
{
    cluster_simulation sim(6, fleet(2, 3, 0));
    sim.startAll();
    sim.time.runFor(20s);
    sim.release(sim.host(0, 0));
    sim.time.runFor(100ms);
    EXPECT_TRUE(sim.hasMemberInState(sim.host(1, 0), sim.host(0, 0), member_state::left));
    sim.time.runFor(70s);
    EXPECT_TRUE(sim.isConverged());
}

TEST(Membership, LoadAndExpectedWaitsReachTheOtherDataCentres)
{
    cluster_simulation sim(7, fleet(9, 3, 0));
    sim.startAll();
    sim.time.runFor(20s);
    const member &m = sim.host(8, 0).membership->members().at(sim.host(0, 0).name);
    EXPECT_EQ(m.report.loadPercent, 50);
    EXPECT_EQ(membership_core::expectedWait(m, {"drift-check"}), duration(20ms));
    EXPECT_FALSE(membership_core::expectedWait(m, {"unheard-of"}));
    EXPECT_TRUE(m.report.seat);
}

TEST(Membership, ViewsConvergeWithin12SecondsOfA10MinutePartition)
{
    cluster_options o = fleet(4, 2, 0);
    o.isEncoded = true;
    cluster_simulation sim(8, o);
    sim.startAll();
    sim.time.runFor(30s);
    const auto bytesIn = [&](duration length) {
        for (const auto &h : sim.hosts)
            h->bytes = 0;
        sim.time.runFor(length);
        std::int64_t most = 0;
        for (const auto &h : sim.hosts)
            most = std::max(most, h->bytes);
        return most;
    };
    const std::int64_t atRest = bytesIn(10s) / 10;
    for (const auto &h : sim.hosts)
        h->partition = h->dataCentreIndex / 3;
    sim.options.isEncoded = false;
    sim.time.runFor(600s);
    sim.options.isEncoded = true;
    for (const auto &h : sim.hosts)
        h->partition = 0;
    std::int64_t peak = 0;
    for (int second = 0; second < 12; ++second)
        peak = std::max(peak, bytesIn(1s));
    EXPECT_TRUE(sim.isConverged());
    EXPECT_LE(peak, 3 * atRest);
    EXPECT_LE(atRest, 21 * 1024);
}

TEST(Membership, AConfigurationTakesEffectWithin3SecondsInADataCentreAnd12Everywhere)
{
    for (std::uint64_t seed = 1; seed <= 1; ++seed) {
        SCOPED_TRACE(seed);
        cluster_simulation sim(seed, fleet(9, 3, 0.05));
        sim.put(1);
        sim.startAll();
        sim.time.runFor(30s);
        ASSERT_TRUE(sim.areAllAtRevision(1));
        sim.put(2);
        sim.time.runFor(12s);
        EXPECT_TRUE(sim.areAllAtRevision(2));
    }
}
