// Guards against records and frames that crash the host that decodes them, and against fields that
// are lost when a record is encoded and decoded.

#include "correctness/scheduler_world.h"
#include "fuzz/io_mutation.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

rc::Gen<step_spec> anyStep()
{
    return rc::gen::build<step_spec>(
        rc::gen::set(&step_spec::count, rc::gen::inRange(1, 20)),
        rc::gen::set(&step_spec::expectedRunMs, rc::gen::inRange<std::int64_t>(0, 100000)),
        rc::gen::set(&step_spec::savesProgress), rc::gen::set(&step_spec::isGang),
        rc::gen::set(&step_spec::wantsOneRack), rc::gen::set(&step_spec::requiredLabel),
        rc::gen::set(&step_spec::maxPerWorker, rc::gen::inRange(0, 5)),
        rc::gen::set(&step_spec::allowsDuplicates), rc::gen::set(&step_spec::isContinuous),
        rc::gen::set(&step_spec::image), rc::gen::set(&step_spec::isBestEffort),
        rc::gen::set(&step_spec::maxUnavailable, rc::gen::inRange(0, 5)));
}

rc::Gen<job_spec> anySpec()
{
    return rc::gen::build<job_spec>(
        rc::gen::set(&job_spec::payload),
        rc::gen::set(&job_spec::steps, rc::gen::container<std::vector<step_spec>>(anyStep())),
        rc::gen::set(&job_spec::scheduledOccurrences, rc::gen::inRange(0, 4)));
}

rc::Gen<queue_policy> anyPolicy(const queue_id &queue)
{
    return rc::gen::build<queue_policy>(
        rc::gen::set(&queue_policy::queue, rc::gen::just(queue)),
        rc::gen::set(&queue_policy::service,
                     rc::gen::map(rc::gen::arbitrary<std::string>(),
                                  [](std::string name) { return service_id{std::move(name)}; })),
        rc::gen::set(&queue_policy::priority),
        rc::gen::set(&queue_policy::attemptLimit, rc::gen::inRange(1, 1000)),
        rc::gen::set(&queue_policy::stretch,
                     rc::gen::map(rc::gen::inRange(0, 10000), [](int n) { return n / 10.0; })),
        rc::gen::set(&queue_policy::objectiveSlackMs,
                     rc::gen::inRange<std::int64_t>(0, 100'000'000'000)));
}

} // namespace

RC_GTEST_PROP(RecordCodec, AcceptancesRoundTrip, ())
{
    job_record job;
    job.spec = *anySpec();
    job.spec.name.value = "0123456789abcdef";
    job.acceptedUnixMs = *rc::gen::arbitrary<std::int64_t>();
    if (*rc::gen::arbitrary<bool>())
        job.acceptedPolicy = *anyPolicy(job.spec.queue);
    const auto read = decodeAcceptance(encodeAcceptance(job));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->spec == job.spec);
    RC_ASSERT(read->acceptedUnixMs == job.acceptedUnixMs);
    RC_ASSERT(read->acceptedPolicy == job.acceptedPolicy);
}

RC_GTEST_PROP(RecordCodec, ProgressRoundTrips, ())
{
    job_record job;
    job.spec.name.value = "0123456789abcdef";
    job.spec.steps = {*anyStep()};
    job.occurrences[0] = newOccurrence(job.spec, 0, instant());
    for (task_state &task : job.occurrences[0].steps[0]) {
        if (*rc::gen::arbitrary<bool>())
            task.phase = task_phase::done;
        task.failedRuns = *rc::gen::arbitrary<std::vector<int>>();
        task.checkpoint = *rc::gen::arbitrary<std::string>();
    }
    job_record read;
    read.spec = job.spec;
    RC_ASSERT(decodeProgress(encodeProgress(job), read));
    for (int i = 0; i < job.spec.steps[0].count; ++i) {
        const task_state &written = *job.find({job.spec.name, 0, 0, i});
        const task_state *found = read.find({job.spec.name, 0, 0, i});
        RC_ASSERT(found != nullptr);
        RC_ASSERT((found->phase == task_phase::done) == (written.phase == task_phase::done));
        RC_ASSERT(found->failedRuns == written.failedRuns);
        RC_ASSERT(found->checkpoint == written.checkpoint);
    }
}

// On a host with a narrow link, the records of wide steps kept commits waiting for seconds.
TEST(RecordCodec, SuccessesOfAWideStepTakeLittleSpace)
{
    job_record job;
    job.spec.name.value = "0123456789abcdef";
    job.spec.steps.resize(2);
    for (step_spec &step : job.spec.steps)
        step.count = 200;
    job.occurrences[0] = newOccurrence(job.spec, 0, instant());
    auto &tasks = job.occurrences[0].steps[0];
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        tasks[i].phase = i % 50 == 7 ? task_phase::running : task_phase::done;
        tasks[i].countedRun = 1;
    }
    const std::string bytes = encodeProgress(job);
    EXPECT_LT(bytes.size(), 100U);
    job_record read;
    read.spec = job.spec;
    ASSERT_TRUE(decodeProgress(bytes, read));
    for (std::size_t i = 0; i < tasks.size(); ++i)
        EXPECT_EQ(read.occurrences.at(0).steps[0][i].phase == task_phase::done, i % 50 != 7) << i;
    EXPECT_EQ(read.occurrences.at(0).steps[1][0].phase, task_phase::blocked);
}

RC_GTEST_PROP(RecordCodec, AnyBytesAreDecodedOrRefused, (const std::string &bytes))
{
    decodeAcceptance(bytes);
    job_record job;
    decodeProgress(bytes, job);
    decodeCall(bytes);
    decodeReply(bytes);
}

// An owner decodes records that earlier owners wrote. A record that crashes one owner would crash
// each host that takes over after it.
TEST(RecordCodec, AnOwnerTakesOverWithMutatedRecords)
{
    constexpr int rounds = 400;
    constexpr int recordsOfRound = 20;
    job_record job;
    job.spec = plainJob("0123456789abcdef", 3);
    job.spec.steps.push_back(job.spec.steps[0]);
    job.spec.steps[1].after = {0};
    job.spec.scheduledOccurrences = 3;
    job.spec.periodMs = 1000;
    job.acceptedUnixMs = 1700001000000;
    job.acceptedPolicy = queue_policy();
    job.occurrences[1] = newOccurrence(job.spec, 1, instant());
    job.occurrences[1].steps[0][0].failedRuns = {1, 2};
    seeded_random random(20261205);
    std::size_t bad = 0;
    for (int round = 0; round < rounds; ++round) {
        scheduler_world world; // No workers: the world does not know the names of mutated jobs.
        fake_host &owner = world.addHost("host-1");
        for (int i = 0; i < recordsOfRound; ++i) {
            const std::string name = fmt::format("job{}", i);
            world.store["cw/job/" + name] = mutate(encodeAcceptance(job), random);
            world.store["cw/run/" + name] = mutate(encodeProgress(job), random);
        }
        world.takeOver(owner);
        world.run(2s);
        bad += std::size_t(std::count(owner.events.begin(), owner.events.end(), "bad_record"));
        EXPECT_TRUE(owner.core.isOwner());
    }
    // Some mutated records stay valid, so acceptance is covered too.
    EXPECT_GT(bad, 0u);
    EXPECT_LT(bad, std::size_t(2 * rounds * recordsOfRound));
}

// A frame that consists only of nested lists once overflowed the stack of the parser.
TEST(RecordCodec, DeepNestingIsRefused)
{
    const std::string nested(500000, '\x81');
    EXPECT_FALSE(decodeCall(nested).has_value());
    EXPECT_FALSE(decodeAcceptance(nested).has_value());
}

RC_GTEST_PROP(TaskName, RoundTripsAsText, ())
{
    const task_name name{{"0123456789abcdef"},
                         *rc::gen::inRange(0, 1000),
                         *rc::gen::inRange(0, 64),
                         *rc::gen::inRange(0, 2000)};
    RC_ASSERT(parseTaskName(toString(name)) == name);
}

RC_GTEST_PROP(TaskName, AnyTextIsParsedOrRefused, (const std::string &text))
{
    const auto name = parseTaskName(text);
    if (name)
        RC_ASSERT(!name->job.empty());
}

// Messages between an owner and its relays.
TEST(CommandCodec, MutatedMessagesAreRefusedOrDecoded)
{
    relayed_commands commands;
    start_command start;
    start.worker.value = "w";
    start.task = *parseTaskName("0123456789abcdef.0.1.2");
    start.payload = "payload";
    poll_command poll;
    poll.worker.value = "w";
    poll.leaseUntilMs = 5000;
    commands.commands = {{1, "10.0.0.1:80", 800, start}, {2, "10.0.0.1:80", 800, poll}};
    relayed_result result;
    result.number = 1;
    result.report.running = {{start.task, 1, "saved", 50, 7}};
    result.report.completedRuns = {{3, start.task, 1, completion_reason::done, ""}};
    const std::string samples[]
        = {encodeCommands(commands), encodeResults({result}), encodeOffer({true, {"dc"}, 500})};
    seeded_random random(20261205);
    for (int i = 0; i < 20000; ++i) {
        const std::string bytes = mutate(samples[std::size_t(i) % std::size(samples)], random);
        decodeCommands(bytes);
        decodeResults(bytes);
        decodeOffer(bytes);
    }
}

// Peers of another build may send anything in the frames of store calls.
TEST(SchedulerCodecFuzz, StoreCallsBetweenHostsNeverCrash)
{
    store_transaction transaction;
    transaction.compares.push_back({"cw/epoch", store_compare::property::mod_revision, 7, {}});
    transaction.puts.push_back({"cw/job/1", std::string("\xff\0x", 3), 5});
    transaction.deletes.push_back({"cw/job/2"});
    store_reply reply;
    reply.entries.push_back({"cw/epoch", "1 2 a", 3, 4, 5, 6});
    helped_watch_update update{4, helped_watch_update::kind::changed, 9, {}, 3};
    update.changes.push_back({true, reply.entries.front()});
    const std::string samples[]
        = {encodeStoreCall({1, 500, store_operation(transaction)}),
           encodeStoreCall({2, 500, store_operation(store_lease_renewal{5})}),
           encodeStoreCall({3, 0, store_watch_request{"servers/", 400}}),
           encodeStoreHelp(helped_store_result{1, reply}),
           encodeStoreHelp(update),
           encodeOwnerNews({{"a"}, "127.0.0.1:1", 3})};
    const auto decoded = decodeStoreCall(samples[0]);
    ASSERT_TRUE(decoded.has_value());
    const auto &same = std::get<store_transaction>(std::get<store_operation>(decoded->what));
    EXPECT_EQ(same.puts.at(0).value, transaction.puts.at(0).value);
    EXPECT_EQ(same.compares.at(0).number, 7);
    seeded_random random(20261207);
    for (int i = 0; i < 20000; ++i) {
        const std::string bytes = mutate(samples[std::size_t(i) % std::size(samples)], random);
        decodeStoreCall(bytes);
        decodeStoreHelp(bytes);
        decodeOwnerNews(bytes);
    }
}
