// Guards against a stored list of workers that is misread, which would let a new owner start tasks
// while a former worker may still run them.

#include "scheduler/earlier_authority.h"
#include "scheduler/worker_list.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

const worker_list sample{{{{"w0"}, "10.0.0.1:80", 0}, {{"w1"}, "", 0}},
                         {{{"w1"}, 7, 5200}},
                         owner_moment{8, 123456},
                         {},
                         {}};

worker_list withWitnesses()
{
    worker_list list = sample;
    list.witnesses = {{{"w0"}, 1700000000123, 4711}, {{"w/2"}, 1700000000124, 3}};
    return list;
}

worker_list withMisdirected()
{
    worker_list list = withWitnesses();
    list.misdirected = {{{"w0"}, 9800}, {{"w/2"}, 0}};
    return list;
}

worker_list withLives()
{
    worker_list list = withMisdirected();
    list.workers[0].incarnationStartUnixMs = 1700000000125;
    return list;
}

} // namespace

TEST(WorkerList, IsReadAsWritten)
{
    EXPECT_EQ(parseWorkerList(toText(withLives())), withLives());
    EXPECT_EQ(parseWorkerList(toText(sample)), sample);
    EXPECT_EQ(parseWorkerList(toText(withWitnesses())), withWitnesses());
    EXPECT_EQ(parseWorkerList(toText(withMisdirected())), withMisdirected());
    EXPECT_EQ(parseWorkerList(""), worker_list());
    worker_list ofEarlierBuild = sample;
    ofEarlierBuild.writtenAt.reset();
    EXPECT_EQ(parseWorkerList(toText(ofEarlierBuild)), ofEarlierBuild);
}

TEST(WorkerList, HasNoTimeIfItCannotBeRead)
{
    for (const char *bad : {" ", " 8", " 8/", " 8/x", " x/8", " 8/7 ", " 8/99999999999999999999"}) {
        const worker_list list = parseWorkerList(std::string(bad) + "\nw0 a\n");
        EXPECT_EQ(list.workers.size(), 1U) << bad;
        EXPECT_EQ(list.writtenAt, std::nullopt) << bad;
    }
}

TEST(WorkerList, HasNoWitnessThatCannotBeRead)
{
    for (const char *bad :
         {" 1/", " 1/2/", " 1//w", " /2/w", " x/2/w", " 0/2/w", " 1/x/w", " -1/2/w", " 1/-2/w",
          " 99999999999999999999/2/w", " 1/99999999999999999999/w"}) {
        const worker_list list = parseWorkerList(std::string(bad) + "\n 8/5\nw0 a\n");
        EXPECT_TRUE(list.witnesses.empty()) << bad;
        EXPECT_EQ(list.writtenAt, (owner_moment{8, 5})) << bad;
        EXPECT_EQ(list.workers.size(), 1U) << bad;
    }
}

// Earlier builds take the last line that begins with a space for the time of writing.
TEST(WorkerList, HasTheTimeOfWritingAfterTheWitnesses)
{
    const std::string text = toText(withWitnesses());
    EXPECT_EQ(text.substr(0, text.find("w0 10")),
              " 1700000000123/4711/w0\n 1700000000124/3/w/2\n 8/123456\n");
}

// A host of an earlier build takes none of these lines for a witness, a worker or the time.
TEST(WorkerList, HasTheMisdirectedLeasesBeforeTheWitnesses)
{
    const std::string text = toText(withMisdirected());
    EXPECT_EQ(text, " restarted/9800/w0\n restarted/0/w/2\n" + toText(withWitnesses()));
}

TEST(WorkerList, AssumesALongMisdirectedLeaseIfItsTimeCannotBeRead)
{
    for (const char *bad : {"", "x", "-1", "5x", "99999999999999999999", "99999999999"}) {
        const worker_list list
            = parseWorkerList(fmt::format(" restarted/{}/w0\n 8/5\nw0 a\n", bad));
        ASSERT_EQ(list.misdirected.size(), 1U) << bad;
        EXPECT_EQ(list.misdirected[0].worker, worker_id{"w0"}) << bad;
        EXPECT_EQ(list.misdirected[0].timeLeftMs, 3600000) << bad;
        EXPECT_EQ(list.writtenAt, (owner_moment{8, 5})) << bad;
    }
}

TEST(WorkerList, HasNoMisdirectedLeaseWithoutAWorker)
{
    for (const char *bad : {" restarted/", " restarted/5", " restarted/5/"}) {
        const worker_list list = parseWorkerList(fmt::format("{}\n 8/5\nw0 a\n", bad));
        EXPECT_TRUE(list.misdirected.empty()) << bad;
        EXPECT_TRUE(list.witnesses.empty()) << bad;
        EXPECT_EQ(list.writtenAt, (owner_moment{8, 5})) << bad;
    }
}

// A host of an earlier build reads the lines and ignores what follows the last one.
TEST(WorkerList, KeepsSilentLeasesOutOfTheLines)
{
    const std::string text = toText(sample);
    EXPECT_EQ(text.substr(0, text.rfind('\n') + 1), " 8/123456\nw0 10.0.0.1:80\nw1 \n");
}

TEST(WorkerList, AssumesTheLongestLeasesIfSilentOnesCannotBeRead)
{
    for (const char *bad :
         {"w1", "w1 7", "w1 x 5", "w1 7 -1", "w1 7 99999999999999", "w1 7 5 w2"}) {
        const worker_list list = parseWorkerList(std::string("w0 a\nw1 b\n") + bad);
        EXPECT_EQ(list.workers.size(), 2U) << bad;
        EXPECT_TRUE(list.silent.empty()) << bad;
    }
}

TEST(EarlierAuthority, EndsOnceALaterOwnerIsSeen)
{
    const instant start{100s};
    earlier_authority authority;
    EXPECT_EQ(authority.endOf(1), instant::max());
    authority.limit(1, start + 8s);
    authority.limit(4, start + 10s);
    EXPECT_EQ(authority.endOf(1), start + 8s);
    EXPECT_EQ(authority.endOf(2), start + 10s);
    EXPECT_EQ(authority.endOf(4), start + 10s);
    EXPECT_EQ(authority.endOf(5), instant::max());
}

// The key of an owner is seen again and again, and a read may return an earlier one.
TEST(EarlierAuthority, KeepsTheEarliestEnd)
{
    const instant start{100s};
    earlier_authority authority;
    authority.limit(4, start + 8s);
    authority.limit(4, start + 9s);
    authority.limit(2, start + 10s);
    EXPECT_EQ(authority.endOf(2), start + 8s);
    EXPECT_EQ(authority.endOf(4), start + 8s);
    authority.limit(6, start + 7s);
    EXPECT_EQ(authority.endOf(4), start + 7s);
}

TEST(EarlierAuthority, RemembersThatAnEndHasPassed)
{
    const instant start{100s};
    earlier_authority authority;
    authority.limit(1, start + 1s);
    authority.limit(2, start + 2s);
    authority.limit(3, start + 30s);
    authority.forgetBefore(start + 10s);
    EXPECT_LE(authority.endOf(1), start + 10s);
    EXPECT_EQ(authority.endOf(3), start + 30s);
}

// A host of an earlier build takes the line for none of the others.
TEST(WorkerList, HasTheIncarnationsFirst)
{
    EXPECT_EQ(toText(withLives()), " lives/1700000000125,0\n" + toText(withMisdirected()));
}

TEST(WorkerList, KnowsNoIncarnationIfTheyCannotBeRead)
{
    for (const char *bad :
         {"", "1", "1,2,3", "1,", "1,x", "x,2", "1;2", "1,-2", "1,,2", "1,99999999999999999999"}) {
        const worker_list list = parseWorkerList(fmt::format(" lives/{}\n 8/5\nw0 a\nw1 b\n", bad));
        ASSERT_EQ(list.workers.size(), 2U) << bad;
        EXPECT_EQ(list.workers[0].incarnationStartUnixMs, 0) << bad;
        EXPECT_EQ(list.workers[1].incarnationStartUnixMs, 0) << bad;
        EXPECT_EQ(list.writtenAt, (owner_moment{8, 5})) << bad;
    }
}
