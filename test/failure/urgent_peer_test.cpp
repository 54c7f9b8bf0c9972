// Guards against wrong outcomes when entry hosts forward requests to each other and messages are
// lost, duplicated, late or from an unexpected sender, and when a host has no seat.

#include "../correctness/urgent_single_core.h"

using namespace crocuswind;
using kind = runner_result::kind;

namespace {

const host_id peerName{"entry-2"};
const service_id service{"drift"};

urgent_peers_listed peerWith(incarnation epoch, duration wait, const char *dataCentre = "thies",
                             bool hasSeat = true)
{
    return {
        {{peerName, epoch, data_centre_id{dataCentre}, hasSeat, false, 8ms, {{service, wait}}}}};
}

std::optional<forward_request> lastForward(const single_core &c)
{
    const auto sent = c.last<send_to_peer>();
    if (!sent || !std::holds_alternative<forward_request>(sent->message))
        return std::nullopt;
    return std::get<forward_request>(sent->message);
}

std::optional<request_outcome> lastAnswer(const single_core &c)
{
    const auto sent = c.last<send_to_peer>();
    if (!sent || !std::holds_alternative<forward_answer>(sent->message))
        return std::nullopt;
    return std::get<forward_answer>(sent->message).result;
}

request_outcome answeredWith(const std::string &text)
{
    return {outcome_kind::answered, outcome_reason::none, text};
}

/// Returns a core that has no seat and knows a peer that has one.
single_core coreWithoutSeat()
{
    single_core c;
    c.send(peerWith(4, 5ms));
    c.send(urgent_seat_lost{});
    return c;
}

forward_request dispatchCommandFrom(const host_id &home, std::int64_t sequence,
                                    incarnation receiverEpoch)
{
    forward_request m;
    m.what = forward_request::purpose::dispatch;
    m.id = {home, 4, sequence};
    m.forwarding = std::uint64_t(sequence);
    m.senderEpoch = 4;
    m.receiverEpoch = receiverEpoch;
    m.timeLeftMs = 1000;
    m.content.service = service;
    m.content.team = team_id{"lab"};
    return m;
}

} // namespace

TEST(PeerFlow, RefusesAnUnrepeatableRequestWithoutAnIdentifier)
{
    single_core c;
    request_content content;
    content.service = service;
    c.send(request_submitted{1, std::nullopt, c.now + duration(1s), content});
    EXPECT_EQ(c.replyTo(1), notRun(outcome_reason::identifier_missing));
}

TEST(PeerFlow, ReportsUnknownIfTheHomeIsGoneOrRestarted)
{
    single_core c;
    const auto id = [](incarnation epoch) { return request_id{peerName, epoch, 9}; };
    const caller_token none = c.submit(false, "lab", urgency::urgent, 1s, id(4));
    EXPECT_EQ(c.replyTo(none), unknownOutcome(outcome_reason::home_gone));
    c.send(peerWith(5, 5ms));
    const caller_token former = c.submit(false, "lab", urgency::urgent, 1s, id(4));
    EXPECT_EQ(c.replyTo(former), unknownOutcome(outcome_reason::home_gone));
    c.send(outcome_asked{99, id(4)});
    EXPECT_EQ(c.replyTo(99), unknownOutcome(outcome_reason::home_gone));
    c.submit(false, "lab", urgency::urgent, 1s, id(5));
    EXPECT_EQ(lastForward(c)->what, forward_request::purpose::decide);
    EXPECT_TRUE(c.allOf<dispatch_to_runner>().empty());
}

TEST(PeerFlow, IgnoresAnswersThatDoNotMatchTheForward)
{
    single_core c;
    c.send(peerWith(4, 5ms));
    const request_id id{peerName, 4, 9};
    const caller_token caller = c.submit(false, "lab", urgency::urgent, 1s, id);
    const forward_request m = *lastForward(c);
    const auto answer = [&](const host_id &from, request_id of, incarnation epoch) {
        c.send(urgent_message_received{
            from, forward_answer{of, m.forwarding, epoch, answeredWith("text")}});
    };
    answer(host_id{"entry-3"}, id, 7);
    answer(peerName, {peerName, 4, 10}, 7);
    answer(peerName, id, 6); // Meant for a former incarnation of this host.
    EXPECT_EQ(c.replyTo(caller), std::nullopt);
    answer(peerName, id, 7);
    EXPECT_EQ(c.replyTo(caller), answeredWith("text"));
}

TEST(PeerFlow, ReportsUnknownForALostForwardAndALostCommand)
{
    single_core c = coreWithoutSeat();
    const caller_token delegated = c.submit(false, "lab", urgency::urgent, 1s);
    const forward_request command = *lastForward(c);
    EXPECT_EQ(command.what, forward_request::purpose::dispatch);
    EXPECT_EQ(command.receiverEpoch, 4);
    const caller_token decided
        = c.submit(false, "lab", urgency::urgent, 1s, request_id{peerName, 4, 9});
    c.wait(2s);
    EXPECT_EQ(c.replyTo(delegated), unknownOutcome(outcome_reason::peer_silent));
    EXPECT_EQ(c.replyTo(decided), unknownOutcome(outcome_reason::peer_silent));
    // A late answer is recorded and returned to a later query.
    c.send(urgent_message_received{
        peerName, forward_answer{command.id, command.forwarding, 7, answeredWith("late")}});
    c.send(outcome_asked{99, command.id});
    EXPECT_EQ(c.replyTo(99), answeredWith("late"));
}

TEST(PeerFlow, ReportsUnknownWhenThePeerIsLost)
{
    single_core c = coreWithoutSeat();
    const caller_token delegated = c.submit(false);
    c.send(outcome_asked{99, request_id{peerName, 4, 9}});
    c.send(urgent_peer_lost{peerName});
    EXPECT_EQ(c.replyTo(delegated)->kind, outcome_kind::unknown);
    EXPECT_EQ(c.replyTo(99)->kind, outcome_kind::unknown);
}

TEST(PeerFlow, ReportsNotRunIfTheExecutingHostDoes)
{
    single_core c = coreWithoutSeat();
    const caller_token caller = c.submit(false);
    const forward_request command = *lastForward(c);
    c.send(urgent_message_received{
        peerName,
        forward_answer{command.id, command.forwarding, 7, notRun(outcome_reason::queue_full)}});
    EXPECT_EQ(c.replyTo(caller), notRun(outcome_reason::queue_full));
}

TEST(PeerFlow, ExecutesADuplicatedDispatchCommandOnce)
{
    single_core c;
    c.send(urgent_message_received{peerName, dispatchCommandFrom(peerName, 3, 7)});
    const auto d = *c.last<dispatch_to_runner>();
    c.send(urgent_message_received{peerName, dispatchCommandFrom(peerName, 3, 7)});
    c.result(d, kind::answered);
    EXPECT_EQ(lastAnswer(c), answeredWith("answer"));
    c.wait(500s);
    c.send(urgent_message_received{peerName, dispatchCommandFrom(peerName, 3, 7)});
    EXPECT_EQ(c.allOf<dispatch_to_runner>().size(), 1U);
}

TEST(PeerFlow, RejectsCommandsForAnotherIncarnationOrFromAnotherHostThanTheHome)
{
    // A former incarnation may have executed the command, so `not_run` could be wrong.
    single_core c;
    c.send(urgent_message_received{peerName, dispatchCommandFrom(peerName, 3, 6)});
    EXPECT_EQ(lastAnswer(c)->kind, outcome_kind::unknown);
    c.send(urgent_message_received{host_id{"entry-3"}, dispatchCommandFrom(peerName, 4, 7)});
    EXPECT_TRUE(c.allOf<dispatch_to_runner>().empty());
}

TEST(PeerFlow, ReportsUnknownForCommandsThatItCannotRecord)
{
    urgent_settings s = single_core::defaults();
    s.maxDispatchCommands = 1;
    single_core c(2, 2, s);
    c.send(urgent_message_received{peerName, dispatchCommandFrom(peerName, 3, 7)});
    c.send(urgent_message_received{peerName, dispatchCommandFrom(peerName, 4, 7)});
    EXPECT_EQ(lastAnswer(c)->kind, outcome_kind::unknown);
    EXPECT_EQ(c.allOf<dispatch_to_runner>().size(), 1U);
}

TEST(PeerFlow, DelegatesToAPeerOnlyIfItIsFaster)
{
    single_core c(1, 1);
    c.send(peerWith(4, 100ms));
    c.submit();
    c.submit(); // The local wait of one service time (50 ms) is shorter than the peer's 108 ms.
    EXPECT_FALSE(lastForward(c));
    c.send(peerWith(4, 20ms));
    c.submit();
    EXPECT_EQ(lastForward(c)->what, forward_request::purpose::dispatch);
    // Requests that arrived as dispatch commands are not forwarded again.
    c.send(urgent_message_received{peerName, dispatchCommandFrom(peerName, 3, 7)});
    EXPECT_FALSE(lastForward(c));
}

TEST(PeerFlow, DelegatesRequestsForAServiceThatOnlyPeersKnow)
{
    single_core c(0, 0, single_core::defaults());
    request_core fresh(single_core::defaults());
    c.core = std::move(fresh);
    c.send(urgent_seat_granted{0, 1, instant::max(), true});
    c.send(peerWith(4, 5ms));
    const caller_token caller = c.submit();
    EXPECT_TRUE(lastForward(c));
    c.send(request_caller_gone{caller});
    EXPECT_TRUE(c.actions.empty());
}

TEST(PeerFlow, DelegatesOrRejectsQueuedRequestsWhenTheSeatIsLost)
{
    single_core c(1, 1);
    c.submit();
    c.submit();
    c.send(urgent_message_received{peerName, dispatchCommandFrom(peerName, 3, 7)});
    c.send(peerWith(4, 5ms, "dakar"));
    EXPECT_EQ(c.core.counts().queued, 2U);
    c.send(urgent_seat_lost{});
    EXPECT_EQ(c.core.counts().queued, 0U);
    EXPECT_EQ(c.allOf<send_to_peer>().size(), 2U); // One command sent, one command answered.
    std::string reason;
    EXPECT_TRUE(c.core.isReady(&reason));
    c.send(peerWith(4, 5ms, "dakar", false));
    EXPECT_FALSE(c.core.isReady(&reason));
    EXPECT_EQ(c.replyTo(c.submit()), notRun(outcome_reason::no_capacity));
}
