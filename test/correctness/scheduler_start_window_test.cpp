// Guards against start commands that fill a narrow link: they waited in its queue for more than
// half a second, were given up and sent again, and held up polls and commits.

#include "scheduler/start_window.h"

#include <deque>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

/// A link that takes a constant number of starts a second, one after the other, with more starts
/// due than it takes.
struct narrow_link
{
    void run(duration howLong, int startsPerSecond)
    {
        const duration each = duration(1s) / startsPerSecond;
        for (const instant until = now + howLong; now < until; now += 1ms) {
            for (std::int64_t free = window.available(std::int64_t(sent.size())); free > 0; --free)
                sent.push_back(now);
            for (; !sent.empty() && idleAt + each <= now; sent.pop_front(), idleAt += each) {
                longestWait = std::max(longestWait, now - sent.front());
                window.onResult(sent.front(), now, now - sent.front() <= 800ms);
                ++done;
            }
        }
    }

    start_window window;
    instant now{1000s};
    instant idleAt{1000s};
    std::deque<instant> sent;
    duration longestWait = duration::zero();
    int done = 0;
};

} // namespace

TEST(StartWindow, KeepsTheQueueOfANarrowLinkShort)
{
    narrow_link link;
    link.run(30s, 300);
    link.longestWait = duration::zero();
    link.done = 0;
    link.run(10s, 300);
    EXPECT_LE(link.longestWait, 500ms);
    EXPECT_GE(link.done, 2900) << "the link must not run dry";
}

TEST(StartWindow, OpensAgainWhenTheLinkIsFast)
{
    narrow_link link;
    link.run(30s, 100);
    EXPECT_LE(link.window.size(), 100);
    link.run(5s, 1000);
    link.done = 0;
    link.run(5s, 1000);
    EXPECT_GE(link.done, 4900);
}

// A few workers that do not answer must not hold back the starts on all others.
TEST(StartWindow, AFewSlowAnswersDoNotShrinkIt)
{
    start_window window;
    const std::int64_t before = window.size();
    instant now{1000s};
    for (int i = 0; i < 3000; ++i, now += 1ms)
        window.onResult(now - (i % 3 == 0 ? 800ms : 20ms), now, i % 3 != 0);
    EXPECT_EQ(window.size(), before);
}
