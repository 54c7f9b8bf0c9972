// Guards the choice of connections that are closed when a server holds too much memory or has no
// connection left.

#include "policy/policy.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

const instant now = instant(10s);
const std::vector<std::uint64_t> none;

connection_limits smallLimits()
{
    connection_limits limits;
    limits.maxConnections = 8;
    limits.readAheadBytes = 100;
    limits.largeRequestBytes = 1000;
    limits.maxHeldBytes = 3000;
    return limits;
}

connection_load waiting(std::uint64_t connection, std::size_t heldBytes, duration stayed = 1s)
{
    connection_load load;
    load.connection = connection;
    load.unreadBytes = heldBytes;
    load.heldBytes = heldBytes;
    load.mayMakeWayFrom = now - stayed;
    return load;
}

connection_load serving(std::uint64_t connection, std::size_t heldBytes)
{
    connection_load load = waiting(connection, heldBytes);
    load.isServing = true;
    return load;
}

} // namespace

TEST(connection_budget, ClosesNothingWithinTheLimits)
{
    const auto chosen
        = chooseConnectionsToClose(smallLimits(), {waiting(1, 1500), serving(2, 1500)}, now);
    EXPECT_EQ(chosen.heaviest, none);
    EXPECT_EQ(chosen.longestIdle, none);
}

TEST(connection_budget, ClosesTheHeaviestUntilTheOthersFit)
{
    const auto chosen = chooseConnectionsToClose(
        smallLimits(), {waiting(1, 900), waiting(2, 1400), waiting(3, 1200), waiting(4, 1000)},
        now);
    EXPECT_EQ(chosen.heaviest, (std::vector<std::uint64_t>{2, 3}));
}

TEST(connection_budget, SparesRequestsInProcessAsLongAsOthersSuffice)
{
    EXPECT_EQ(
        chooseConnectionsToClose(smallLimits(), {serving(1, 2900), waiting(2, 200)}, now).heaviest,
        (std::vector<std::uint64_t>{2}));
    EXPECT_EQ(
        chooseConnectionsToClose(smallLimits(), {serving(1, 3100), waiting(2, 200)}, now).heaviest,
        (std::vector<std::uint64_t>{2, 1}));
}

TEST(connection_budget, MakesRoomForALargeRequestAfterTheMinimumStay)
{
    connection_load large = waiting(3, 100);
    large.isWaitingForRoom = true;
    const std::vector<connection_load> young = {waiting(1, 2500, -1s), large};
    EXPECT_EQ(chooseConnectionsToClose(smallLimits(), young, now).heaviest, none);
    const std::vector<connection_load> old = {waiting(1, 2000), serving(2, 400), large};
    EXPECT_EQ(chooseConnectionsToClose(smallLimits(), old, now).heaviest,
              (std::vector<std::uint64_t>{1}));
}

TEST(connection_budget, LongestIdleMakeWayWhenNoneCanBeAccepted)
{
    std::vector<connection_load> loads = {serving(1, 0)};
    for (std::uint64_t i = 2; i <= 7; ++i)
        loads.push_back(waiting(i, 0, std::chrono::seconds(i)));
    EXPECT_EQ(chooseConnectionsToClose(smallLimits(), loads, now).longestIdle, none);
    loads.push_back(waiting(8, 0, -1s));
    EXPECT_EQ(chooseConnectionsToClose(smallLimits(), loads, now).longestIdle,
              (std::vector<std::uint64_t>{7, 6}));
}

// A client inside the limits may send a request of the largest size, and thousands of connections
// may be open; a smaller process admits fewer.
TEST(connection_budget, LimitsFollowFromMemoryAndDescriptors)
{
    constexpr std::size_t megabyte = 1024 * 1024;
    constexpr std::size_t header = 16 * 1024;
    constexpr std::size_t body = 256 * 1024;
    for (const std::size_t memory : {64, 160, 260, 512, 4096}) {
        for (const std::size_t sockets : {100, 3900, 7992}) {
            const process_room room = {memory * megabyte, sockets};
            const connection_limits callers = callerLimits(room, header, body);
            EXPECT_GE(callers.largeRequestBytes, header + body);
            EXPECT_GT(callers.readAheadBytes, header);
            EXPECT_LE(callers.maxHeldBytes, room.memoryBytes / 4);
            EXPECT_LE(callers.maxConnections * callers.readAheadBytes, room.memoryBytes / 4);
            const connection_limits readiness = readinessLimits(room, header);
            EXPECT_LE(callers.maxConnections + readiness.maxConnections, sockets * 4 / 5);
            EXPECT_TRUE(mayReceiveLargeRequest(callers, connection_load(), 0));
        }
    }
    EXPECT_GE(callerLimits({160 * megabyte, 3900}, header, body).maxConnections, 2000U);
}
