// Guards against replies of a former owner that contradict what the current owner does with a call.

#include "jobs/job_router.h"

#include <gtest/gtest.h>
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
        : router(loop, [this](const host_id &to, const job_call &call) {
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
    std::vector<std::pair<host_id, scheduler::call_token>> sent;
    std::optional<job_reply> answer;
    job_router router;
};

} // namespace

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
    job_router router(loop, [](const host_id &, const job_call &) { return false; });
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
    job_router router(loop, [](const host_id &, const job_call &) { return true; });
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
