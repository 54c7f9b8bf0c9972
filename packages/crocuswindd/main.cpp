// Entry point of the daemon of an entry host.

#include "entry_host.h"
#include "settings.h"

#include "platform/platform.h"

#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

using namespace crocuswind;

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

int reportSettingsFailure(const settings_failure &failure)
{
    if (failure.isHelp) {
        fmt::print("{}", failure.text);
        return 0;
    }
    fmt::print(stderr, "settings: {}\n{}settings: see 'crocuswindd --help'\n", failure.text,
               toString(failure.problems));
    return exitUsage;
}

log_level toLogLevel(const std::string &name)
{
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    return name == "error" ? log_level::error : log_level::info;
}

} // namespace

int main(int argc, char **argv)
{
    // On the platform, a settings file describes the host instead of flags; an environment variable
    // names the file.
    const char *platformSettings = std::getenv(platform::settingsVariable);
    if (argc == 1 && platformSettings != nullptr)
        return platform::runPlatformHost(platformSettings);

    const auto settings = parseDaemonSettings(argc, argv);
    if (!settings)
        return reportSettingsFailure(settings.error());
    setLogLevel(toLogLevel(settings->logLevel));

    event_loop loop;
    entry_host host(loop, *settings);
    const auto started = host.start();
    if (!started) {
        fmt::print(stderr, "host: {}\n", started.error());
        return exitFailed;
    }
    loop.onSignal(SIGTERM, [&host] { host.drain(); });
    loop.onSignal(SIGINT, [&host] { host.drain(); });
    loop.run();
    return 0;
}
