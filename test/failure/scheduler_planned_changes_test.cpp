// Guards against continuous tasks that wait too long for a new run while workers and owners are
// replaced as planned, several of them in a row, and against tasks that run twice meanwhile.

#include "scheduler_changing_site.h"

#include <cstdlib>

using namespace crocuswind::scheduler;

namespace {

// CROCUSWIND_SEEDS sets the number of seeds for a longer run by hand.
int seedCount()
{
    constexpr int seedsInCi = 100;
    const char *given = std::getenv("CROCUSWIND_SEEDS");
    return given == nullptr ? seedsInCi : std::atoi(given);
}

} // namespace

TEST(PlannedChanges, RunContinuousTasksAgainInTimeAndNoneTwice)
{
    for (int seed = 1; seed <= seedCount(); ++seed)
        playPlannedChanges(seed);
}
