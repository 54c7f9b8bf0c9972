// Guards against workers that hear from two hosts in turns, against relays that get far more than
// their share of the workers, and against an owner that sends the commands of a large fleet itself.

#include "scheduler/scheduler.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

constexpr int dataCentres = 6;

data_centre_id dataCentreOf(int number)
{
    return {fmt::format("dc-{}", number % dataCentres)};
}

worker_id workerNamed(int number)
{
    return {fmt::format("w{:04}", number)};
}

struct assigned_fleet
{
    assigned_fleet(int workerCount, std::int64_t ownerMilliCores)
        : workers(workerCount)
        , assignment(ownerMilliCores)
    {
        for (int i = 0; i < workers; ++i)
            assignment.addWorker(workerNamed(i), dataCentreOf(i));
    }

    void offer(const std::string &host, int dataCentre, std::int64_t milliCores)
    {
        assignment.onOffer({host}, {true, dataCentreOf(dataCentre), milliCores});
    }

    command_route route(int worker, bool isIdle = true)
    {
        return assignment.routeFor(workerNamed(worker), isIdle, now);
    }

    std::map<host_id, int> workersOfRelays()
    {
        std::map<host_id, int> counts;
        for (int i = 0; i < workers; ++i)
            ++counts[route(i).relay];
        return counts;
    }

    int workers;
    relay_assignment assignment;
    instant now{1000s};
};

} // namespace

TEST(RelayAssignment, LeavesASmallFleetToItsOwner)
{
    assigned_fleet fleet(50, 100);
    fleet.offer("relay", 0, 500);
    EXPECT_FALSE(fleet.assignment.needsRelays());
    for (int i = 0; i < fleet.workers; ++i)
        EXPECT_EQ(fleet.route(i), command_route());
}

TEST(RelayAssignment, SharesALargeFleetAmongLargeHostsOfEachDataCentre)
{
    assigned_fleet fleet(1100, 500);
    for (int dc = 0; dc < dataCentres; ++dc) {
        for (int i = 0; i < 3; ++i)
            fleet.offer(fmt::format("large-{}-{}", dc, i), dc, 500);
        for (int i = 0; i < 20; ++i)
            fleet.offer(fmt::format("small-{}-{}", dc, i), dc, 69);
    }
    const auto counts = fleet.workersOfRelays();
    EXPECT_EQ(counts.size(), 18U);
    for (const auto &[host, count] : counts) {
        EXPECT_EQ(host.value.rfind("large", 0), 0U) << host.value;
        EXPECT_LE(count, 1100 / 18 + 2) << host.value;
    }
    for (int i = 0; i < fleet.workers; ++i)
        EXPECT_EQ(fleet.route(i).relay.value.substr(6, 1), std::to_string(i % dataCentres));
}

TEST(RelayAssignment, UsesSmallHostsWhereThereAreNoLargeOnes)
{
    assigned_fleet fleet(120, 69);
    for (int i = 0; i < 23; ++i)
        fleet.offer(fmt::format("small-{:02}", i), i, 69);
    const auto counts = fleet.workersOfRelays();
    EXPECT_EQ(counts.size(), 23U);
    EXPECT_EQ(counts.count(host_id()), 0U);
}

TEST(RelayAssignment, TokensRiseWithEachRouteAndEachEpoch)
{
    const command_route first{{"a"}, 1};
    const command_route second{{"b"}, 2};
    EXPECT_LT(commandToken(1, first), commandToken(1, second));
    EXPECT_LT(commandToken(1, second), commandToken(2, command_route()));
}

TEST(RelayAssignment, AWorkerChangesItsRouteWithAHigherGenerationOnly)
{
    assigned_fleet fleet(100, 69);
    const command_route direct = fleet.route(0);
    fleet.offer("a", 0, 500);
    EXPECT_EQ(fleet.route(0, false), direct) << "commands are in flight on the present route";
    const command_route byA = fleet.route(0);
    EXPECT_EQ(byA.relay.value, "a");
    EXPECT_GT(byA.generation, direct.generation);
    fleet.offer("b", 0, 500);
    fleet.assignment.onLost({"a"});
    const command_route byB = fleet.route(0, false);
    EXPECT_EQ(byB.relay.value, "b");
    EXPECT_GT(byB.generation, byA.generation);
}

// The platform takes holders that alternate within 3 s for a conflict.
TEST(RelayAssignment, AWorkerDoesNotReturnToAFormerRelayAtOnce)
{
    assigned_fleet fleet(100, 69);
    fleet.offer("a", 0, 500);
    ASSERT_EQ(fleet.route(0).relay.value, "a");
    fleet.offer("b", 0, 500);
    fleet.offer("c", 1, 69);
    fleet.assignment.onLost({"a"});
    ASSERT_EQ(fleet.route(0).relay.value, "b");
    fleet.offer("a", 0, 500);
    fleet.now += 1s;
    fleet.assignment.onLost({"b"});
    EXPECT_EQ(fleet.route(0).relay.value, "c");
    fleet.now += 5s;
    EXPECT_EQ(fleet.route(0).relay.value, "a");
}

// A worker that service discovery has removed may still run tasks. With its route forgotten, its
// next command would carry a lower token, and its refusal would depose the owner.
TEST(RelayAssignment, ARemovedWorkerKeepsItsRoute)
{
    assigned_fleet fleet(100, 69);
    fleet.offer("a", 0, 500);
    const command_route before = fleet.route(0);
    fleet.assignment.removeWorker(workerNamed(0));
    EXPECT_EQ(fleet.route(0), before);
}

// Hosts offer themselves one after the other. The first ones must not keep most of the workers.
TEST(RelayAssignment, LaterOffersTakeOverTheirShare)
{
    assigned_fleet fleet(600, 500);
    fleet.offer("first", 0, 500);
    ASSERT_EQ(fleet.workersOfRelays().size(), 1U);
    for (int dc = 1; dc < dataCentres; ++dc)
        fleet.offer(fmt::format("later-{}", dc), dc, 500);
    fleet.now += 5s;
    for (const auto &[host, count] : fleet.workersOfRelays())
        EXPECT_LE(count, 110) << host.value;
    const auto settled = fleet.workersOfRelays();
    for (int i = 0; i < 10; ++i) {
        fleet.now += 5s;
        EXPECT_EQ(fleet.workersOfRelays(), settled) << "workers move to and fro";
    }
}
