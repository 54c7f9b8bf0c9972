// Guards against a copy of the store's keys that is taken for younger than it is: an answer may
// wait for long before it is read, so the copy is as old as the question.

#include "jobs/jobs.h"

#include <gtest/gtest.h>
#include <vector>

using namespace crocuswind;

namespace {

/// Keeps what is asked; the test gives the answers.
class scripted_store final : public store
{
public:
    void submit(const store_operation &, instant, result_callback done) override
    {
        reads.push_back(std::move(done));
    }
    store_watch_id watch(const std::string &, duration silence, watch_callback callback) override
    {
        maxSilence = silence;
        tell = std::move(callback);
        return 1;
    }
    void cancelWatch(store_watch_id) override { }

    std::vector<result_callback> reads;
    duration maxSilence = duration::zero();
    watch_callback tell;
};

struct mirror : testing::Test
{
    mirror()
        : copy(loop, source, "servers/", 400ms,
               {[](const std::string &, const std::optional<std::string> &, std::int64_t) {},
                [](std::int64_t) {}, [this](instant asOf) { current.push_back(asOf); }, [] {}})
    { }

    void tell(store_watch_update::kind what, instant asOf = {})
    {
        store_watch_update update;
        update.what = what;
        update.asOf = asOf;
        source.tell(update);
    }

    event_loop loop;
    scripted_store source;
    std::vector<instant> current;
    prefix_mirror copy;
};

} // namespace

TEST_F(mirror, IsAsOldAsTheReadThatCompletedIt)
{
    EXPECT_EQ(source.maxSilence, 400ms);
    const instant before = loop.now();
    tell(store_watch_update::kind::started);
    const instant after = loop.now();
    ASSERT_EQ(source.reads.size(), 1u);
    EXPECT_TRUE(current.empty());
    loop.runUntil([&] { return loop.now() > after; }, 1s);
    source.reads[0](store_reply());
    ASSERT_EQ(current.size(), 1u);
    EXPECT_GE(current[0], before);
    EXPECT_LE(current[0], after);
}

TEST_F(mirror, IsAsOldAsTheLastQuestionOfItsWatch)
{
    tell(store_watch_update::kind::started);
    source.reads[0](store_reply());
    const instant asked = loop.now() - 3s;
    tell(store_watch_update::kind::unchanged, asked);
    tell(store_watch_update::kind::changed, asked + 1s);
    ASSERT_EQ(current.size(), 3u);
    EXPECT_EQ(current[1], asked);
    EXPECT_EQ(current[2], asked + 1s);
}

// What the watch tells before all keys were read leaves out what was there before.
TEST_F(mirror, HasNoAgeWhileItIsIncomplete)
{
    tell(store_watch_update::kind::started);
    tell(store_watch_update::kind::unchanged, loop.now());
    EXPECT_TRUE(current.empty());
    source.reads[0](store_reply());
    tell(store_watch_update::kind::lost);
    current.clear();
    tell(store_watch_update::kind::started);
    tell(store_watch_update::kind::changed, loop.now());
    EXPECT_TRUE(current.empty());
}
