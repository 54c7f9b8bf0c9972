// Guards against tasks that run twice because workers restart at random times and are cut off soon
// after. It plays the seeds after those of scheduler_random_restarts_test, to halve their times.

#include "scheduler_restarting_site.h"

using namespace crocuswind::scheduler;

TEST(FurtherRestarts, DuplicateNoRun)
{
    constexpr int firstSeed = 151;
    constexpr int lastSeed = 300;
    for (int seed = firstSeed; seed <= lastSeed; ++seed)
        playRestarts(seed, 0);
}
