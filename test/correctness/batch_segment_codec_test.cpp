// Guards against job records that change when they are encoded and decoded, and against damaged
// values or values of a later version being decoded as jobs.

#include "batch/batch.h"
#include "batch/segment_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;

namespace {

job_record randomJob(random_source &random)
{
    job_record job;
    job.spec.id = {team_id{"lab"}, "cert-" + std::to_string(random.below(100000))};
    job.spec.kind = job_kind(random.below(3));
    job.spec.urgency = job_urgency(random.below(3));
    job.spec.size = {std::int64_t(1 + random.below(32000)), std::int64_t(random.below(125000)),
                     std::int64_t(random.below(4))};
    job.spec.runMs = std::int64_t(random.below(1'000'000));
    job.spec.replicas = job.spec.kind == job_kind::service ? int(1 + random.below(5)) : 1;
    for (std::uint64_t i = random.below(40); i > 0; --i)
        job.spec.payload += char(random.below(256));
    job.isCancelled = random.below(2) == 0;
    job.number = std::int64_t(random.below(1'000'000));
    for (int i = 0; i < job.spec.replicas; ++i) {
        task_record task;
        task.state = task_state(random.below(5));
        task.attempt = int(random.below(100));
        task.worker.value = random.below(2) == 0 ? "" : "worker-3";
        if (random.below(2) == 0)
            task.lastCheckpoint = {std::int64_t(1 + random.below(9)), "\xff\x01 ref"};
        task.failures = int(random.below(4));
        task.result = random.below(2) == 0 ? "" : "ok";
        job.tasks.push_back(task);
    }
    return job;
}

} // namespace

RC_GTEST_PROP(Segment, RoundTrips, (std::uint64_t seed))
{
    seeded_random random(seed);
    std::vector<job_record> jobs;
    for (std::uint64_t i = random.below(10); i > 0; --i)
        jobs.push_back(randomJob(random));
    std::vector<const job_record *> pointers;
    for (const job_record &job : jobs)
        pointers.push_back(&job);
    const auto decoded = decodeSegment(encodeSegment(pointers));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == jobs);
}

RC_GTEST_PROP(Segment, DecodingDamagedValuesDoesNotThrow, (std::uint64_t seed))
{
    seeded_random random(seed);
    const job_record job = randomJob(random);
    std::string bytes = encodeSegment({&job});
    for (std::uint64_t i = random.below(5); i > 0; --i)
        bytes[random.below(bytes.size())] = char(random.below(256));
    bytes.resize(bytes.size() - random.below(bytes.size()));
    (void)decodeSegment(bytes);
    (void)decodeCommitRecord(bytes);
}

TEST(Segment, RefusesALaterVersion)
{
    const std::string later("\xa2\x64jobs\x80\x67version\x02", 16);
    ASSERT_FALSE(decodeSegment(later));
    EXPECT_NE(decodeSegment(later).error().find("later version"), std::string::npos);
}

TEST(CommitRecord, RoundTrips)
{
    const commit_record record{7, 42, "entry-1.1789", 123456};
    EXPECT_EQ(decodeCommitRecord(encodeCommitRecord(record)), record);
    EXPECT_FALSE(decodeCommitRecord("x"));
}
