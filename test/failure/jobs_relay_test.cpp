// Guards against commands that a relay sends late, twice or not at all without the owner knowing,
// and against results that are taken for those of another command. An owner and a relay exchange
// their messages in one loop; the workers are a fake.

#include "jobs/command_relay.h"
#include "jobs/relayed_worker_link.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::scheduler;

namespace {

const worker_id worker{"w"};
const host_id ownerHost{"owner"};

/// Records commands. The test decides when and how they are answered.
class fake_workers final : public worker_link
{
public:
    void setAddress(const worker_id &, const std::string &address) override
    {
        lastAddress = address;
    }
    void start(const start_command &command, command_callback done) override
    {
        starts.push_back(command);
        answers.push_back(std::move(done));
    }
    void stop(const stop_command &, command_callback done) override
    {
        answers.push_back(std::move(done));
    }
    void pace(const pace_command &, command_callback done) override
    {
        answers.push_back(std::move(done));
    }
    void poll(const poll_command &command, poll_callback done) override
    {
        polls.push_back(command);
        pollAnswers.push_back(std::move(done));
    }

    std::string lastAddress;
    std::vector<start_command> starts;
    std::vector<poll_command> polls;
    std::vector<command_callback> answers;
    std::vector<poll_callback> pollAnswers;
};

struct relay_path : testing::Test
{
    relay_path()
        : owner(loop, random, direct, 1, [this](const host_id &host, const std::string &bytes) {
            return deliver(host, bytes);
        })
    {
        worker_info info;
        info.id = worker;
        info.address = "10.0.0.1:80";
        owner.onWorker(info);
        addRelay("a");
    }

    void addRelay(const std::string &name)
    {
        relays[{name}] = std::make_unique<command_relay>(
            loop, workersOf[name], [this](const host_id &, const std::string &bytes) {
                if (!areResultsLost) {
                    EXPECT_TRUE(receiver->onResults(bytes));
                }
            });
        owner.onOffer({name}, {true, {"dc"}, 500});
    }

    bool deliver(const host_id &host, const std::string &bytes)
    {
        if (isLinkFull)
            return false;
        if (isHeld)
            held.emplace_back(host, bytes);
        else
            EXPECT_TRUE(relays.at(host)->onCommands(ownerHost, bytes));
        return true;
    }

    void deliverHeld()
    {
        isHeld = false;
        for (const auto &[host, bytes] : held)
            EXPECT_TRUE(relays.at(host)->onCommands(ownerHost, bytes));
        held.clear();
    }

    static start_command startOf(int run)
    {
        start_command command;
        command.worker = worker;
        command.task = *parseTaskName("00000000000000aa.0.1.2");
        command.run = run;
        command.payload = "payload";
        command.checkpoint = "saved";
        command.leaseUntilMs = 4000;
        command.epoch = 7;
        return command;
    }

    void start(int run)
    {
        owner.start(startOf(run), [this, run](const command_result &r) {
            outcomes.emplace_back(run, r.outcome);
            lastClock = r.clockMs;
        });
    }

    void run(duration limit)
    {
        loop.runUntil([] { return false; }, limit);
    }

    bool awaitOutcome()
    {
        return loop.runUntil([this] { return !outcomes.empty(); }, 10s);
    }

    using run_outcome = std::pair<int, command_outcome>;

    event_loop loop;
    seeded_random random{1};
    fake_workers direct;
    std::map<std::string, fake_workers> workersOf;
    std::map<host_id, std::unique_ptr<command_relay>> relays;
    relayed_worker_link owner;
    relayed_worker_link *receiver = &owner; ///< Gets the results of the relays.
    std::vector<run_outcome> outcomes;
    std::optional<std::int64_t> lastClock;
    std::vector<std::pair<host_id, std::string>> held;
    bool isLinkFull = false;
    bool isHeld = false;
    bool areResultsLost = false;
};

} // namespace

TEST_F(relay_path, CommandsAndResultsArriveWhole)
{
    start(3);
    ASSERT_TRUE(loop.runUntil([&] { return !workersOf["a"].starts.empty(); }, 10s));
    const start_command sent = workersOf["a"].starts[0];
    EXPECT_EQ(workersOf["a"].lastAddress, "10.0.0.1:80");
    EXPECT_EQ(toString(sent.task), "00000000000000aa.0.1.2");
    EXPECT_EQ(sent.run, 3);
    EXPECT_EQ(sent.payload, "payload");
    EXPECT_EQ(sent.checkpoint, "saved");
    EXPECT_EQ(sent.leaseUntilMs, 4000);
    EXPECT_EQ(sent.epoch, commandToken(7, {{"a"}, 1}));
    workersOf["a"].answers[0]({command_outcome::done, 1234});
    ASSERT_TRUE(awaitOutcome());
    EXPECT_EQ(outcomes[0], run_outcome(3, command_outcome::done));
    EXPECT_EQ(lastClock, 1234);
    EXPECT_TRUE(direct.starts.empty());
}

// On a host with a narrow link, the payload of each task of a job filled the link.
TEST_F(relay_path, TasksOfAJobShareThePayloadOfAMessage)
{
    relayed_commands batch;
    start_command command = startOf(1);
    command.payload = std::string(4000, 'x');
    batch.commands = {{1, "10.0.0.1:80", 800, command}};
    const std::size_t oneTask = encodeCommands(batch).size();
    command.payload[0] = 'y';
    for (std::uint64_t number = 2; number <= 40; ++number) {
        command.task.index = int(number);
        batch.commands.push_back({number, "10.0.0.1:80", 800, command});
    }
    const std::string bytes = encodeCommands(batch);
    EXPECT_LT(bytes.size(), 2 * oneTask + 40 * 150);
    const auto decoded = decodeCommands(bytes);
    ASSERT_TRUE(decoded && decoded->commands.size() == 40);
    EXPECT_EQ(std::get<start_command>(decoded->commands[0].command).payload[0], 'x');
    EXPECT_EQ(std::get<start_command>(decoded->commands[39].command).payload, command.payload);
}

TEST_F(relay_path, ReportsArriveWhole)
{
    poll_command command;
    command.worker = worker;
    command.address = "10.0.0.1:80";
    command.number = 5;
    command.epoch = 7;
    command.ackedCompletions = 11;
    command.leaseUntilMs = 9000;
    std::optional<poll_result> answer;
    owner.poll(command, [&](const poll_result &result) { answer = result; });
    ASSERT_TRUE(loop.runUntil([&] { return !workersOf["a"].polls.empty(); }, 10s));
    EXPECT_EQ(workersOf["a"].polls[0].ackedCompletions, 11);
    EXPECT_EQ(workersOf["a"].polls[0].leaseUntilMs, 9000);
    poll_result result;
    result.outcome = command_outcome::done;
    result.report.clockMs = 77;
    result.report.incarnationStartUnixMs = 88;
    result.report.running = {{*parseTaskName("aa.0.1.2"), 4, "saved", 50, 120}};
    result.report.completedRuns
        = {{12, *parseTaskName("aa.0.1.3"), 1, completion_reason::lapsed, "s"},
           {13, task_name(), 0, completion_reason::done, ""}};
    result.report.isWhole = false;
    workersOf["a"].pollAnswers[0](result);
    ASSERT_TRUE(loop.runUntil([&] { return answer.has_value(); }, 10s));
    EXPECT_EQ(answer->outcome, command_outcome::done);
    EXPECT_FALSE(answer->report.isWhole);
    EXPECT_EQ(answer->report.clockMs, 77);
    EXPECT_EQ(answer->report.incarnationStartUnixMs, 88);
    ASSERT_EQ(answer->report.running.size(), 1U);
    EXPECT_EQ(toString(answer->report.running[0].task), "aa.0.1.2");
    EXPECT_EQ(answer->report.running[0].measurement, 120);
    ASSERT_EQ(answer->report.completedRuns.size(), 2U);
    EXPECT_EQ(answer->report.completedRuns[0].reason, completion_reason::lapsed);
    EXPECT_EQ(answer->report.completedRuns[1].number, 13);
}

// A relay that is paused, or whose messages are held up, must not send orders that the owner has
// given up meanwhile.
TEST_F(relay_path, ACommandThatArrivesLateIsNotSent)
{
    start(1);
    run(50ms);
    ASSERT_EQ(workersOf["a"].starts.size(), 1U);
    isHeld = true;
    start(2);
    run(600ms);
    deliverHeld();
    ASSERT_TRUE(awaitOutcome());
    EXPECT_EQ(workersOf["a"].starts.size(), 1U);
    EXPECT_EQ(outcomes[0], run_outcome(2, command_outcome::not_done));
}

// The outcome is unknown, since the relay may have sent the command.
TEST_F(relay_path, ALostRelayLeavesTheOutcomeOpenAndAnotherOneTakesOver)
{
    start(1);
    run(50ms);
    addRelay("b");
    owner.onHostLost({"a"});
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0], run_outcome(1, command_outcome::no_answer));
    workersOf["a"].answers[0]({command_outcome::done, 1});
    run(50ms);
    EXPECT_EQ(outcomes.size(), 1U) << "a result after the loss counts for nothing";
    start(2);
    ASSERT_TRUE(loop.runUntil([&] { return !workersOf["b"].starts.empty(); }, 10s));
    EXPECT_GT(workersOf["b"].starts[0].epoch, workersOf["a"].starts[0].epoch);
}

TEST_F(relay_path, AResultThatNeverComesLeavesTheOutcomeOpen)
{
    areResultsLost = true;
    start(1);
    ASSERT_TRUE(awaitOutcome());
    EXPECT_EQ(outcomes[0], run_outcome(1, command_outcome::no_answer));
}

TEST_F(relay_path, AFullLinkMeansThatTheCommandWasNotSent)
{
    isLinkFull = true;
    start(1);
    ASSERT_TRUE(awaitOutcome());
    EXPECT_EQ(outcomes[0], run_outcome(1, command_outcome::not_done));
}

// Without the distinction, a change of the relay would depose the owner.
TEST_F(relay_path, ARefusalOfAFormerRouteIsNoLaterOwner)
{
    start(1);
    run(50ms);
    areResultsLost = true;
    addRelay("b");
    owner.onOffer({"a"}, {false, {"dc"}, 500});
    areResultsLost = false;
    start(2);
    ASSERT_TRUE(loop.runUntil([&] { return !workersOf["b"].starts.empty(); }, 10s));
    workersOf["a"].answers[0]({command_outcome::refused_stale_epoch, 1});
    ASSERT_TRUE(awaitOutcome());
    EXPECT_EQ(outcomes[0], run_outcome(1, command_outcome::no_answer));
    workersOf["b"].answers[0]({command_outcome::refused_stale_epoch, 1});
    ASSERT_TRUE(loop.runUntil([&] { return outcomes.size() == 2; }, 10s));
    EXPECT_EQ(outcomes[1], run_outcome(2, command_outcome::refused_stale_epoch));
}

TEST_F(relay_path, AfterItsOwnershipAnOwnerHearsNothingMore)
{
    start(1);
    run(50ms);
    owner.reset();
    workersOf["a"].answers[0]({command_outcome::done, 1});
    run(50ms);
    EXPECT_TRUE(outcomes.empty());
}

// A start that the worker had refused counted as done: the result of another start, which a relay
// had got from the former process of the owner's host, arrived after the restart.
TEST_F(relay_path, ARestartedOwnerDropsResultsForItsFormerProcess)
{
    start(1);
    run(50ms);
    ASSERT_EQ(workersOf["a"].starts.size(), 1U);
    relays.at({"a"})->onOwnerLost(ownerHost);
    relayed_worker_link present(
        loop, random, direct, 1,
        [this](const host_id &host, const std::string &bytes) { return deliver(host, bytes); });
    receiver = &present;
    present.onOffer({"a"}, {true, {"dc"}, 500});
    worker_info info;
    info.id = worker;
    info.address = "10.0.0.1:80";
    present.onWorker(info);
    std::vector<command_outcome> presentOutcomes;
    present.start(startOf(2),
                  [&](const command_result &r) { presentOutcomes.push_back(r.outcome); });
    run(50ms);
    ASSERT_EQ(workersOf["a"].starts.size(), 2U);
    workersOf["a"].answers[0]({command_outcome::done, 1});
    run(50ms);
    EXPECT_TRUE(presentOutcomes.empty());
    EXPECT_EQ(present.foreignResults(), 1);
    workersOf["a"].answers[1]({command_outcome::not_done, 1});
    ASSERT_TRUE(loop.runUntil([&] { return !presentOutcomes.empty(); }, 10s));
    EXPECT_EQ(presentOutcomes[0], command_outcome::not_done);
    EXPECT_EQ(present.foreignResults(), 1);
}

TEST_F(relay_path, MalformedMessagesAreRefused)
{
    EXPECT_FALSE(relays.at({"a"})->onCommands(ownerHost, "\xff\x00odd"));
    EXPECT_FALSE(owner.onResults("[1,2"));
    EXPECT_FALSE(decodeOffer("").has_value());
    start(1);
    run(50ms);
    EXPECT_EQ(workersOf["a"].starts.size(), 1U);
}
