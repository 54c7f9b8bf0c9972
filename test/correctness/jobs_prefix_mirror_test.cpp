// Guards against a mirror that reports a too recent time as the age of its copy. An answer may wait
// for a long time before it is read, so the copy is only as recent as the request.

#include "jobs/jobs.h"

#include <gtest/gtest.h>
#include <vector>

using namespace crocuswind;

namespace {

/// Records the requests to the store. The test supplies the answers.
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
        emit = std::move(callback);
        return 1;
    }
    void cancelWatch(store_watch_id) override { }

    std::vector<result_callback> reads;
    duration maxSilence = duration::zero();
    watch_callback emit;
};

struct mirror : testing::Test
{
    mirror()
        : copy(loop, source, "servers/", 400ms,
               {[](const std::string &, const std::optional<std::string> &, std::int64_t) {},
                [](std::int64_t) {}, [this](instant asOf) { upToDateAsOf.push_back(asOf); }, [] {}})
    { }

    void emit(store_watch_update::kind what, instant asOf = {})
    {
        store_watch_update update;
        update.what = what;
        update.asOf = asOf;
        source.emit(update);
    }

    event_loop loop;
    scripted_store source;
    std::vector<instant> upToDateAsOf;
    prefix_mirror copy;
};

} // namespace

TEST_F(mirror, IsUpToDateAsOfTheSendTimeOfItsRead)
{
    EXPECT_EQ(source.maxSilence, 400ms);
    const instant before = loop.now();
    emit(store_watch_update::kind::started);
    const instant after = loop.now();
    ASSERT_EQ(source.reads.size(), 1u);
    EXPECT_TRUE(upToDateAsOf.empty());
    loop.runUntil([&] { return loop.now() > after; }, 1s);
    source.reads[0](store_reply());
    ASSERT_EQ(upToDateAsOf.size(), 1u);
    EXPECT_GE(upToDateAsOf[0], before);
    EXPECT_LE(upToDateAsOf[0], after);
}

TEST_F(mirror, IsUpToDateAsOfTheLastPollOfItsWatch)
{
    emit(store_watch_update::kind::started);
    source.reads[0](store_reply());
    const instant sentAt = loop.now() - 3s;
    emit(store_watch_update::kind::unchanged, sentAt);
    emit(store_watch_update::kind::changed, sentAt + 1s);
    ASSERT_EQ(upToDateAsOf.size(), 3u);
    EXPECT_EQ(upToDateAsOf[1], sentAt);
    EXPECT_EQ(upToDateAsOf[2], sentAt + 1s);
}

// A read of the list of 3,000 workers took seconds, and nothing started until the next poll of the
// watch had been answered after it.
TEST_F(mirror, IsUpToDateAsOfAWatchThatWentOnDuringItsRead)
{
    emit(store_watch_update::kind::started);
    const instant during = loop.now() + 3s;
    emit(store_watch_update::kind::unchanged, during);
    source.reads[0](store_reply());
    ASSERT_EQ(upToDateAsOf.size(), 1u);
    EXPECT_EQ(upToDateAsOf[0], during);
}

// Changes that the watch reports before all keys were read do not include the existing keys.
TEST_F(mirror, ReportsNoAgeWhileItIsIncomplete)
{
    emit(store_watch_update::kind::started);
    emit(store_watch_update::kind::unchanged, loop.now());
    EXPECT_TRUE(upToDateAsOf.empty());
    source.reads[0](store_reply());
    emit(store_watch_update::kind::lost);
    upToDateAsOf.clear();
    emit(store_watch_update::kind::started);
    emit(store_watch_update::kind::changed, loop.now());
    EXPECT_TRUE(upToDateAsOf.empty());
}
