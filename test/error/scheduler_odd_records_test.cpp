// Guards against malformed records and frames that crash the host that reads them, or that keep it
// from reading the other records.

#include "correctness/scheduler_world.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace crocuswind;
using namespace crocuswind::scheduler;
using nlohmann::json;

namespace {

job_record goodJob(const std::string &name)
{
    job_record job;
    job.spec = plainJob(name, 2);
    job.acceptedUnixMs = 1700001000000;
    return job;
}

json acceptance(const std::string &name)
{
    return json::from_cbor(encodeAcceptance(goodJob(name)));
}

std::string toBytes(const json &j)
{
    std::string bytes;
    json::to_cbor(j, bytes);
    return bytes;
}

// Values that are invalid for integer fields of 32 or 64 bits.
const std::vector<json> invalidNumbers
    = {json(1e300), json(-1e300), json(1.5), json(std::uint64_t(1) << 63U), json("5"), json()};

struct malformed_records : testing::Test
{
    malformed_records()
        : owner(world.addHost("host-1"))
    {
        for (int i = 0; i < 2; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {4000, 8000, 0});
        world.store["cw/job/good"] = encodeAcceptance(goodJob("good"));
        world.specs[{"good"}] = goodJob("good").spec;
    }

    // Takes over despite the malformed records. Returns true if the valid job completes.
    bool finishesGoodJob()
    {
        world.takeOver(owner);
        world.run(12s);
        const call_token token = owner.call(job_call_kind::query, {"good"});
        return owner.replies.at(token).status == job_status::completed;
    }

    scheduler_world world;
    fake_host &owner;
};

} // namespace

// The CBOR parser recursed into the chunks of a string of indefinite length, each of which may
// again be such a string.
TEST(MalformedFrame, NestedStringChunksAreRefused)
{
    for (const char head : {'\x7f', '\x5f'}) {
        const std::string chunks(1'000'000, head);
        for (const std::string &bytes : {chunks, '\x86' + chunks, "\x86\x61" + ('x' + chunks)}) {
            EXPECT_FALSE(decodeCall(bytes).has_value());
            EXPECT_FALSE(decodeReply(bytes).has_value());
            EXPECT_FALSE(decodeAcceptance(bytes).has_value());
            job_record job;
            EXPECT_FALSE(decodeProgress(bytes, job));
        }
    }
}

TEST(MalformedFrame, NumbersOutOfRangeAreRefused)
{
    job_call call;
    call.token = 7;
    call.spec = plainJob("a", 2);
    const json good = json::from_cbor(encodeCall(call));
    ASSERT_TRUE(decodeCall(toBytes(good)).has_value());
    for (const json &invalid : invalidNumbers) {
        json frame = good;
        frame[1] = invalid;
        EXPECT_FALSE(decodeCall(toBytes(frame)).has_value()) << invalid;
        frame = good;
        frame[4][3][0][0] = invalid; // The number of tasks of the first step.
        EXPECT_FALSE(decodeCall(toBytes(frame)).has_value()) << invalid;
    }
    json frame = good;
    frame[4][3][0][0] = 4294967297; // 2^32 + 1, which would become 1 in 32 bits.
    EXPECT_FALSE(decodeCall(toBytes(frame)).has_value());
}

TEST_F(malformed_records, OfJobsAreSkipped)
{
    int number = 0;
    const auto add = [&](json record) {
        const std::string name = fmt::format("odd{}", number++);
        record[0][0] = name;
        world.store["cw/job/" + name] = toBytes(record);
    };
    for (const json &invalid : invalidNumbers) {
        json record = acceptance("odd");
        record[0][3][0][0] = invalid; // Number of tasks.
        add(record);
        record = acceptance("odd");
        record[1] = invalid; // Time of acceptance.
        add(record);
    }
    for (const std::int64_t invalid : {-1L, 0L, 2147483647L, 4611686018427387904L}) {
        json record = acceptance("odd");
        record[0][3][0][0] = invalid;
        add(record);
        record = acceptance("odd");
        record[0][3][0][4]
            = invalid < 1 ? -1 : std::numeric_limits<std::int64_t>::max(); // Expected run time.
        add(record);
        record = acceptance("odd");
        record[0][3][0][5] = {invalid}; // A preceding step.
        add(record);
        record = acceptance("odd");
        record[0][5] = invalid < 1 ? -1 : std::numeric_limits<std::int64_t>::max(); // Due time.
        add(record);
        record = acceptance("odd");
        record[1] = invalid < 1 ? -1 : std::numeric_limits<std::int64_t>::max();
        add(record);
    }
    world.store["cw/job/bytes"] = std::string(1'000'000, '\x7f');
    EXPECT_TRUE(finishesGoodJob());
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "bad_record"), number + 1);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(malformed_records, OfProgressAreSkipped)
{
    job_record job = goodJob("good");
    job.occurrences[0] = newOccurrence(job.spec, 0, instant());
    job.occurrences[0].steps[0][0].failedRuns = {1};
    json record = json::from_cbor(encodeProgress(job));
    record[6][0][0] = 1'000'000; // A job without a schedule has occurrence 0 only.
    world.store["cw/run/good"] = toBytes(record);
    record[6][0][0] = 1e300;
    world.store["cw/run/odd"] = toBytes(record);
    EXPECT_TRUE(finishesGoodJob());
}

// For each worker on record, a new owner waits up to the length of a lease, also for entries that
// cannot name a worker.
TEST_F(malformed_records, OfWorkersAreSkipped)
{
    world.store["cw/workers"] = "w0\nw1\n\n\n";
    EXPECT_TRUE(finishesGoodJob());
}
