// Guards against a daemon that starts with invalid settings, reports only the first of several
// errors, or does not name the flag or environment variable that caused an error.

#include "crocuswindd/settings.h"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

std::vector<const char *> validArguments()
{
    return {"crocuswindd", "--host",      "entry-1",       "--data-centre", "dakar-1",
            "--listen",    "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",   "--store",
            "127.0.0.1:1", "--host-list", "127.0.0.1:2"};
}

tl::expected<daemon_settings, settings_failure> parse(const std::vector<const char *> &arguments)
{
    return parseDaemonSettings(int(arguments.size()), arguments.data());
}

} // namespace

TEST(DaemonSettings, AcceptsAValidCommandLine)
{
    auto arguments = validArguments();
    arguments.insert(arguments.end(), {"--peer", "entry-2=127.0.0.1:3", "--seats", "2"});
    const auto settings = parse(arguments);
    ASSERT_TRUE(settings) << settings.error().text << toString(settings.error().problems);
    EXPECT_EQ(settings->peers, (std::vector<peer_setting>{{host_id{"entry-2"}, "127.0.0.1:3"}}));
    EXPECT_EQ(settings->seats, 2);
}

TEST(DaemonSettings, ReportsAllErrorsTogetherWithTheirFlags)
{
    auto arguments = validArguments();
    arguments[2] = "Entry 1";
    arguments[6] = "localhost:7000";
    arguments.insert(arguments.end(),
                     {"--seats", "9", "--peer", "entry-2", "--tls-key", "key.pem"});
    const auto settings = parse(arguments);
    ASSERT_FALSE(settings);
    std::vector<std::string> sources;
    for (const finding &f : settings.error().problems)
        sources.push_back(f.place.source);
    EXPECT_EQ(
        sources,
        (std::vector<std::string>{"--host", "--listen", "--seats", "--peer", "--tls-certificate"}));
}

TEST(DaemonSettings, NamesTheVariableThatCausedAnError)
{
    setenv("CROCUSWIND_SHARDS", "65", 1);
    const auto settings = parse(validArguments());
    unsetenv("CROCUSWIND_SHARDS");
    ASSERT_FALSE(settings);
    ASSERT_EQ(settings.error().problems.size(), 1u);
    EXPECT_EQ(settings.error().problems[0].place.source, "CROCUSWIND_SHARDS");
}

TEST(DaemonSettings, RefusesUnknownFlagsAndMissingValues)
{
    auto arguments = validArguments();
    arguments.push_back("--seets");
    EXPECT_FALSE(parse(arguments));
    EXPECT_FALSE(parse({"crocuswindd"}));
}

TEST(DaemonSettings, HelpNamesEveryVariable)
{
    const auto settings = parse({"crocuswindd", "--help"});
    ASSERT_FALSE(settings);
    EXPECT_TRUE(settings.error().isHelp);
    for (const char *variable : {"CROCUSWIND_HOST", "CROCUSWIND_STORE", "CROCUSWIND_TLS_KEY"})
        EXPECT_NE(settings.error().text.find(variable), std::string::npos) << variable;
}

TEST(SocketAddress, AcceptsOnlyNumericAddressesWithAPort)
{
    for (const char *good : {"127.0.0.1:0", "10.0.0.1:65535", "[::1]:80"})
        EXPECT_TRUE(isSocketAddress(good)) << good;
    for (const char *bad : {"", "127.0.0.1", "localhost:80", "127.0.0.1:65536",
                            "127.0.0.1:", "::1:80", "127.0.0.1:8x"})
        EXPECT_FALSE(isSocketAddress(bad)) << bad;
}
