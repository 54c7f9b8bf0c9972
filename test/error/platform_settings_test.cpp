// Guards against invalid settings that are accepted, and against a host that fails on settings
// which it does not know.

#include "platform/node_settings.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::platform;

namespace {

const std::string validSettings
    = "node=front-a-1\nip=127.0.0.1\nzone=a\nlisten.front=127.0.0.1:8161\n"
      "listen.ready=127.0.0.1:8167\nportRange=7720,7735\n"
      "platform.address=127.0.0.1:8169\nlimits.cpuShare=0.1\n"
      "bounds.holdMaxMs=6000\nsomething.new=1\n";

} // namespace

TEST(NodeSettings, AreReadAndUnknownOnesIgnored)
{
    const auto settings = parseNodeSettings(validSettings, "node.conf");
    ASSERT_TRUE(settings.has_value());
    EXPECT_EQ(settings->host.value, "front-a-1");
    EXPECT_EQ(toString(settings->peerListen), "127.0.0.1:7720");
    EXPECT_EQ(settings->maxLeaseMs, 6000);
    EXPECT_EQ(settings->exitGracePeriodS, 6);
    EXPECT_DOUBLE_EQ(settings->processorCores, 0.1);
}

TEST(NodeSettings, AllMistakesAreReportedTogetherWithTheirLines)
{
    const auto settings
        = parseNodeSettings("ip=127.0.0.1\nzone=a\nlisten.front=nowhere\n"
                            "listen.ready=127.0.0.1:8167\nportRange=x\nlimits.cpuShare=-1\n",
                            "node.conf");
    ASSERT_FALSE(settings.has_value());
    const std::string text = toString(settings.error());
    for (const char *part : {"\"node\" is missing", "\"platform.address\" is missing",
                             "node.conf:3:0: \"listen.front\"", "node.conf:5:0: \"portRange\"",
                             "node.conf:6:0: \"limits.cpuShare\""})
        EXPECT_NE(text.find(part), std::string::npos) << part << " not in\n" << text;
}

// A file of another format used to be reported as many missing settings.
TEST(NodeSettings, AFileOfAnotherFormatIsOneFinding)
{
    const auto settings = parseNodeSettings("{\"broken\":\n", "node.conf");
    ASSERT_FALSE(settings.has_value());
    EXPECT_EQ(settings.error().size(), 1u) << toString(settings.error());
}

TEST(NodeSettings, AMissingFileIsAFinding)
{
    const auto settings = readNodeSettings("/nonexistent/node.conf");
    ASSERT_FALSE(settings.has_value());
    EXPECT_EQ(settings.error().size(), 1u);
}

// Times are stored in microseconds. A larger number of seconds overflowed and made the length of a
// lease negative.
TEST(NodeSettings, NumbersOutOfRangeAreMistakes)
{
    for (const char *name : {"bounds.holdMaxMs", "bounds.drainMs", "bounds.early_ms",
                             "bounds.status_s", "bounds.graceS"}) {
        for (const char *number : {"9223372036854775807", "99999999999999999999", "-1", "x"}) {
            const auto settings
                = parseNodeSettings(validSettings + name + "=" + number + "\n", "node.conf");
            EXPECT_FALSE(settings.has_value()) << name << " " << number;
        }
    }
    for (const char *ports : {"65536,65540", "0,5", "-1,5", "99999999999,1"})
        EXPECT_FALSE(
            parseNodeSettings(validSettings + "portRange=" + ports + "\n", "node.conf").has_value())
            << ports;
}
