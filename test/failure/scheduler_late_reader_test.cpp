// Guards against new owners that each count the time left of a silent worker's lease from their own
// read, because they have not seen the clock of the owner that stored it.

#include "scheduler_changing_site.h"

using namespace crocuswind::scheduler;

TEST(LateReader, ExtendsNoLeaseOfASilentWorker)
{
    playPlannedChanges(662);
}
