// Guards against a record or a frame that ends the host that reads it, or that hides the others.

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

// Numbers that a field of 32 or 64 bits cannot hold.
const std::vector<json> oddNumbers
    = {json(1e300), json(-1e300), json(1.5), json(std::uint64_t(1) << 63U), json("5"), json()};

struct odd_records : testing::Test
{
    odd_records()
        : owner(world.addHost("host-1"))
    {
        for (int i = 0; i < 2; ++i)
            world.addWorker(fmt::format("w{}", i), "rack-1", {4000, 8000, 0});
        world.store["cw/job/good"] = encodeAcceptance(goodJob("good"));
        world.specs[{"good"}] = goodJob("good").spec;
    }

    // Returns true if the owner takes over beside the odd records and finishes the good job.
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

// Each chunk of a text of unknown length may again be such a text; the parser recursed for it.
TEST(OddFrame, NestedChunksOfTextAreRefused)
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

TEST(OddFrame, NumbersOutOfRangeAreRefused)
{
    job_call call;
    call.token = 7;
    call.spec = plainJob("a", 2);
    const json good = json::from_cbor(encodeCall(call));
    ASSERT_TRUE(decodeCall(toBytes(good)).has_value());
    for (const json &odd : oddNumbers) {
        json frame = good;
        frame[1] = odd;
        EXPECT_FALSE(decodeCall(toBytes(frame)).has_value()) << odd;
        frame = good;
        frame[4][3][0][0] = odd; // The number of tasks of the first step.
        EXPECT_FALSE(decodeCall(toBytes(frame)).has_value()) << odd;
    }
    json frame = good;
    frame[4][3][0][0] = 4294967297; // 2^32 + 1, which 32 bits would make 1.
    EXPECT_FALSE(decodeCall(toBytes(frame)).has_value());
}

TEST_F(odd_records, OfJobsAreLeftOut)
{
    int number = 0;
    const auto add = [&](json record) {
        const std::string name = fmt::format("odd{}", number++);
        record[0][0] = name;
        world.store["cw/job/" + name] = toBytes(record);
    };
    for (const json &odd : oddNumbers) {
        json record = acceptance("odd");
        record[0][3][0][0] = odd; // Number of tasks.
        add(record);
        record = acceptance("odd");
        record[1] = odd; // Time of the acceptance.
        add(record);
    }
    for (const std::int64_t odd : {-1L, 0L, 2147483647L, 4611686018427387904L}) {
        json record = acceptance("odd");
        record[0][3][0][0] = odd;
        add(record);
        record = acceptance("odd");
        record[0][3][0][4] = odd < 1 ? -1 : std::numeric_limits<std::int64_t>::max(); // Run time.
        add(record);
        record = acceptance("odd");
        record[0][3][0][5] = {odd}; // An earlier step.
        add(record);
        record = acceptance("odd");
        record[0][5] = odd < 1 ? -1 : std::numeric_limits<std::int64_t>::max(); // Due time.
        add(record);
        record = acceptance("odd");
        record[1] = odd < 1 ? -1 : std::numeric_limits<std::int64_t>::max();
        add(record);
    }
    world.store["cw/job/bytes"] = std::string(1'000'000, '\x7f');
    EXPECT_TRUE(finishesGoodJob());
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "bad_record"), number + 1);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST_F(odd_records, OfProgressAreLeftOut)
{
    job_record job = goodJob("good");
    job.occurrences[0] = newOccurrence(job.spec, 0, instant());
    job.occurrences[0].steps[0][0].failedRuns = {1};
    json record = json::from_cbor(encodeProgress(job));
    record[6][0][0] = 1'000'000; // A job without occurrences has number 0 only.
    world.store["cw/run/good"] = toBytes(record);
    record[6][0][0] = 1e300;
    world.store["cw/run/odd"] = toBytes(record);
    EXPECT_TRUE(finishesGoodJob());
}

// A new owner waits in vain, for as long as a lease may last, for workers that cannot exist.
TEST_F(odd_records, OfWorkersAreLeftOut)
{
    world.store["cw/workers"] = "w0\nw1\n\n\n";
    EXPECT_TRUE(finishesGoodJob());
}
