// The daemon of an entry host.

#include "settings.h"

#include <fmt/format.h>

using namespace crocuswind;

namespace {

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

} // namespace

int main(int argc, char **argv)
{
    const auto settings = parseDaemonSettings(argc, argv);
    if (!settings)
        return reportSettingsFailure(settings.error());
    return 0;
}
