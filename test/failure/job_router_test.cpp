// Guards against replies of a former owner that contradict what the current owner does with a call,
// and against replies to a former process that end a call of the present one.

#include "jobs/job_router.h"

#include <gtest/gtest.h>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace crocuswind;
using scheduler::job_call;
using scheduler::job_call_kind;
using scheduler::job_outcome;
using scheduler::job_reply;

namespace {

/// A call that was sent to one owner and then sent again to the next one.
struct repeated_call : testing::Test
{
    repeated_call()
        : router(loop, random, [this](const host_id &to, const job_call &call) {
            sent.emplace_back(to, call.token);
            return true;
        })
    {
        electOwner(formerOwner);
        job_call call;
        call.kind = job_call_kind::submit;
        call.name.value = "a";
        router.call(call, loop.now() + 60s, [this](const job_reply &reply) { answer = reply; });
        electOwner(currentOwner);
    }

    void electOwner(const host_id &host)
    {
        router.setOwner(host);
        router.onHostReachable(host);
    }

    void reply(const host_id &from, job_outcome outcome)
    {
        job_reply reply;
        reply.token = sent.front().second;
        reply.outcome = outcome;
        router.onReply(from, reply);
    }

    const host_id formerOwner{"host-1"};
    const host_id currentOwner{"host-2"};
    event_loop loop;
    seeded_random random{1};
    std::vector<std::pair<host_id, scheduler::call_token>> sent;
    std::optional<job_reply> answer;
    job_router router;
};

/// A submission at a host whose owner is linked to it but does not answer.
struct silent_owner : testing::Test
{
    silent_owner()
        : router(loop, random, [this](const host_id &, const job_call &) { return isLinked; })
    {
        router.setOwner(owner);
        router.onHostReachable(owner);
        submit();
    }

    void submit()
    {
        job_call call;
        call.kind = job_call_kind::submit;
        router.call(call, loop.now() + 60s,
                    [this](const job_reply &reply) { answers.push_back(reply); });
    }

    bool waitForAnswers(std::size_t count)
    {
        return loop.runUntil([&] { return answers.size() == count; }, 20s);
    }

    void loseLink()
    {
        isLinked = false;
        router.onHostUnreachable(owner);
    }

    const host_id owner{"host-1"};
    event_loop loop;
    seeded_random random{1};
    bool isLinked = true;
    std::vector<job_reply> answers;
    job_router router;
};

/// Returns the same number each time, so that a test chooses the tokens of a process.
class fixed_random final : public random_source
{
public:
    explicit fixed_random(std::uint64_t number)
        : m_number(number)
    { }
    std::uint64_t next() override { return m_number; }

private:
    std::uint64_t m_number;
};

/// A process of a host. Its calls reach the owner as frames.
struct host_process
{
    host_process(event_loop &l, std::uint64_t number)
        : loop(l)
        , random(number)
        , router(l, random, [this](const host_id &, const job_call &call) {
            frames.push_back(scheduler::encodeCall(call));
            return true;
        })
    {
        router.setOwner(owner);
        router.onHostReachable(owner);
    }

    void call(job_call_kind kind)
    {
        job_call call;
        call.kind = kind;
        router.call(call, loop.now() + 60s, [this](const job_reply &r) { answers.push_back(r); });
    }

    void receive(const std::string &frame)
    {
        const auto reply = scheduler::decodeReply(frame);
        ASSERT_TRUE(reply.has_value());
        router.onReply(owner, *reply);
    }

    const host_id owner{"host-1"};
    event_loop &loop;
    fixed_random random;
    std::vector<std::string> frames;
    std::vector<job_reply> answers;
    job_router router;
};

/// Returns the owner's reply to the call in \p frame.
std::string replyTo(const std::string &frame, job_outcome outcome)
{
    job_reply reply;
    reply.token = scheduler::decodeCall(frame).value().token;
    reply.outcome = outcome;
    return scheduler::encodeReply(reply);
}

/// What the random source of the former and of the present process of a host returns.
struct restarted_host : testing::TestWithParam<std::pair<std::uint64_t, std::uint64_t>>
{
    event_loop loop;
};

constexpr std::uint64_t highest = std::numeric_limits<std::uint64_t>::max();

INSTANTIATE_TEST_SUITE_P(Random, restarted_host,
                         testing::Values(std::pair(8, highest), std::pair(highest, 0x80000000),
                                         std::pair(highest >> 1, (highest >> 1) + 8),
                                         std::pair(8, 0)));

} // namespace

// A job was acknowledged to its caller although it was not stored: the commit of another job, which
// was submitted to the former process of the host, was answered after the restart.
TEST_P(restarted_host, DropsRepliesToItsFormerProcess)
{
    std::vector<std::string> late;
    {
        host_process former(loop, GetParam().first);
        for (int i = 0; i < 4; ++i)
            former.call(job_call_kind::submit);
        for (const std::string &frame : former.frames)
            late.push_back(replyTo(frame, job_outcome::accepted));
    }
    ASSERT_EQ(late.size(), 4U);
    host_process present(loop, GetParam().second);
    for (int i = 0; i < 4; ++i)
        present.call(job_call_kind::submit);
    for (const std::string &frame : late)
        present.receive(frame);
    EXPECT_TRUE(present.answers.empty());
    EXPECT_EQ(present.router.counters().foreignReplies, 4);
    for (const std::string &frame : present.frames)
        present.receive(replyTo(frame, job_outcome::refused));
    ASSERT_EQ(present.answers.size(), 4U);
    for (const job_reply &answer : present.answers)
        EXPECT_EQ(answer.outcome, job_outcome::refused);
}

// A second reply to a call of this process would hide in the count those to a former one.
TEST_P(restarted_host, CountsNoRepliesToItself)
{
    host_process present(loop, GetParam().second);
    for (int i = 0; i < 4; ++i)
        present.call(job_call_kind::submit);
    for (int i = 0; i < 2; ++i) {
        for (const std::string &frame : present.frames)
            present.receive(replyTo(frame, job_outcome::accepted));
    }
    EXPECT_EQ(present.answers.size(), 4U);
    EXPECT_EQ(present.router.counters().foreignReplies, 0);
}

// A former owner that could not commit a job refused it after the call had been sent again to the
// next owner, which accepted the job. The caller was told that the job never runs, but it ran.
TEST_F(repeated_call, IgnoresRefusalOfTheFormerOwner)
{
    ASSERT_EQ(sent.size(), 2U);
    reply(formerOwner, job_outcome::refused);
    EXPECT_FALSE(answer.has_value());
    reply(currentOwner, job_outcome::accepted);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->outcome, job_outcome::accepted);
}

TEST_F(repeated_call, IgnoresRefusalOfTheFormerOwnerWhileTheCurrentOneIsUnreachable)
{
    router.onHostUnreachable(currentOwner);
    reply(formerOwner, job_outcome::not_found);
    EXPECT_FALSE(answer.has_value());
    router.onHostReachable(currentOwner);
    EXPECT_EQ(sent.size(), 3U);
}

TEST_F(repeated_call, TakesAcceptanceOfTheFormerOwner)
{
    reply(formerOwner, job_outcome::accepted);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->outcome, job_outcome::accepted);
}

TEST_F(repeated_call, TakesRefusalOfTheCurrentOwner)
{
    reply(currentOwner, job_outcome::refused);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->outcome, job_outcome::refused);
}

// Calls that arrived just after the owner was lost waited for their whole deadline, although they
// were certain to be refused after the grace period.
TEST(JobRouter, RefusesWaitingCallsOnceTheGracePeriodIsOver)
{
    event_loop loop;
    seeded_random random(1);
    job_router router(loop, random, [](const host_id &, const job_call &) { return false; });
    std::optional<job_reply> unsent;
    job_call call;
    call.kind = job_call_kind::submit;
    const instant begin = loop.now();
    router.call(call, begin + 60s, [&](const job_reply &reply) { unsent = reply; });
    ASSERT_TRUE(loop.runUntil([&] { return unsent.has_value(); }, 30s));
    EXPECT_EQ(unsent->outcome, job_outcome::refused);
    EXPECT_GT(unsent->retryAfterMs, 0);
}

// The owner may have carried out the call, so it must not be refused.
TEST(JobRouter, KeepsCallsThatAnOwnerMayHaveCarriedOut)
{
    event_loop loop;
    const host_id owner{"host-1"};
    seeded_random random(1);
    job_router router(loop, random, [](const host_id &, const job_call &) { return true; });
    router.setOwner(owner);
    router.onHostReachable(owner);
    std::optional<job_reply> sent;
    std::optional<job_reply> query;
    job_call call;
    call.kind = job_call_kind::submit;
    router.call(call, loop.now() + 4s, [&](const job_reply &reply) { sent = reply; });
    call.kind = job_call_kind::query;
    router.call(call, loop.now() + 60s, [&](const job_reply &reply) { query = reply; });
    router.onHostUnreachable(owner);
    ASSERT_TRUE(loop.runUntil([&] { return query.has_value(); }, 30s));
    EXPECT_EQ(query->outcome, job_outcome::refused);
    EXPECT_FALSE(sent.has_value());
    ASSERT_TRUE(loop.runUntil([&] { return sent.has_value(); }, 30s));
    EXPECT_EQ(sent->outcome, job_outcome::no_answer);
}

// A process that ended left its open calls without an answer.
TEST_F(repeated_call, IsAnsweredWhenTheProcessStops)
{
    std::vector<job_reply> answers;
    const auto keep = [&](const job_reply &r) { answers.push_back(r); };
    router.setOwner(std::nullopt);
    job_call query;
    query.kind = job_call_kind::query;
    router.call(query, loop.now() + 60s, keep);
    ASSERT_FALSE(answer.has_value());
    router.stop();
    // The owner that it was sent to may have carried it out.
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->outcome, job_outcome::no_answer);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome, job_outcome::refused);
    EXPECT_GT(answers[0].retryAfterMs, 0);
    job_call submission;
    submission.kind = job_call_kind::submit;
    router.call(submission, loop.now() + 60s, keep);
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[1].outcome, job_outcome::refused);
}

// Callers of a host that was cut off from the owner and the store waited for their whole time.
TEST_F(silent_owner, KeepsNoCallerWaitingOnceTheHostIsCutOff)
{
    router.setOwnerVisible(false);
    EXPECT_TRUE(answers.empty()) << "the owner may still answer";
    loseLink();
    submit();
    ASSERT_TRUE(waitForAnswers(2));
    EXPECT_EQ(answers[0].outcome, job_outcome::no_answer) << "the owner may have carried it out";
    EXPECT_EQ(answers[1].outcome, job_outcome::refused);
    EXPECT_GT(answers[1].retryAfterMs, 0);
    EXPECT_TRUE(policy::refusesCalls(router.contact(), loop.now())) << "the host is not ready";
    submit();
    EXPECT_EQ(answers.size(), 3U) << "a new call is refused at once";
}

// A link that is cut in silence took calls until it was closed.
TEST_F(silent_owner, IsSentNoCallWhileNothingIsHeard)
{
    job_call query;
    query.kind = job_call_kind::query;
    router.call(query, loop.now() + 60s, [this](const job_reply &r) { answers.push_back(r); });
    router.setSilent(true);
    ASSERT_EQ(answers.size(), 1U) << "the query; the submission may have been carried out";
    EXPECT_EQ(answers[0].outcome, job_outcome::refused);
    submit();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[1].outcome, job_outcome::refused);
    router.setSilent(false);
    submit();
    EXPECT_EQ(answers.size(), 2U) << "the owner is heard again";
}

// A planned change of the owner takes longer than a host that is cut off waits.
TEST_F(silent_owner, IsWaitedForByAHostThatSeesItsSuccessorComing)
{
    loseLink();
    submit();
    router.setOwner(std::nullopt);
    EXPECT_FALSE(policy::refusesCalls(router.contact(), loop.now() + 2s));
    router.setOwner(host_id{"host-2"});
    router.onHostReachable(host_id{"host-2"});
    EXPECT_FALSE(policy::refusesCalls(router.contact(), loop.now()));
    EXPECT_TRUE(answers.empty()) << "both calls are sent to the successor";
}
