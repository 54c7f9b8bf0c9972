// Guards against tasks that run twice because workers restart under their identifiers at random
// times and are cut off soon after. scheduler_further_restarts_test plays the rest of the seeds.

#include "scheduler_restarting_site.h"

#include <cstdlib>

using namespace crocuswind::scheduler;

namespace {

// Returns the value of an environment variable, or the usual one if it is not set.
double numberFrom(const char *variable, double usual)
{
    const char *const text = std::getenv(variable);
    return text == nullptr ? usual : std::atof(text);
}

} // namespace

// CROCUSWIND_SEEDS sets the number of seeds for a longer run by hand, and CROCUSWIND_LATE the share
// of commands that are carried out late.
TEST(Restarts, DuplicateNoRun)
{
    constexpr int seedsInCi = 150;
    const int seeds = int(numberFrom("CROCUSWIND_SEEDS", seedsInCi));
    for (int seed = 1; seed <= seeds; ++seed)
        playRestarts(seed, numberFrom("CROCUSWIND_LATE", 0));
}
