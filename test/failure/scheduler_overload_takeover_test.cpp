// Guards against an owner that ends while there is too little room, and takes accepted jobs or the
// refusals of its successor with it.

#include "correctness/scheduler_overloaded_queue.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

TEST(OverloadTakeover, LosesNoAcceptedJobAndRefusesNoneBeforeTheRoomIsKnown)
{
    overloaded_queue queue;
    queue.submitFor(15s, 30);
    fake_host &first = *queue.owner;
    ASSERT_GT(first.core.counters().refusedForLoad, 0);
    first.isDead = true;
    fake_host &second = queue.world.addHost("host-2");
    queue.world.takeOver(second);
    queue.owner = &second;
    const std::size_t accepted = queue.jobs.size();
    queue.submitFor(1900ms, 30);
    EXPECT_EQ(second.core.counters().refused, 0);
    queue.run(60s);
    EXPECT_EQ(queue.world.violations, std::vector<std::string>());
    for (std::size_t i = 0; i < accepted; ++i) {
        const auto reply = first.replies.find(queue.jobs[i].submission);
        if (reply != first.replies.end() && reply->second.outcome == job_outcome::accepted) {
            EXPECT_EQ(queue.doneAt.count(queue.jobs[i].name), 1U) << queue.jobs[i].name.value;
        }
    }
}
