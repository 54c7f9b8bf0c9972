/// Defines the messages of the urgent path between entry hosts. The protocol package encodes them.
/// Deadlines are sent as time left in milliseconds, because the clocks of hosts differ.
#ifndef CROCUSWIND_URGENT_PEER_MESSAGES_H
#define CROCUSWIND_URGENT_PEER_MESSAGES_H

#include "base/base.h"
#include "request_outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace crocuswind {

/// The urgency class of a request. Jobs have a lower priority than both classes.
enum class urgency { urgent, normal };

/// Formats an urgency class as used in HTTP bodies and peer messages.
inline std::string_view toString(urgency u)
{
    return u == urgency::urgent ? "urgent" : "normal";
}

/// The content of a request, without its identifier and deadline.
struct request_content
{
    service_id service;
    team_id team;
    bool isRepeatable = false;
    urgency level = urgency::normal;
    std::string payload;
    std::optional<trace_context>
        trace; ///< The caller's context; the receiver starts one if absent.

    friend bool operator==(const request_content &a, const request_content &b)
    {
        return std::tie(a.service, a.team, a.isRepeatable, a.level, a.payload, a.trace)
            == std::tie(b.service, b.team, b.isRepeatable, b.level, b.payload, b.trace);
    }
    friend bool operator!=(const request_content &a, const request_content &b) { return !(a == b); }
};

/// Forwards a request to another entry host: either to the home of its identifier, which decides
/// its outcome, or as a dispatch command from the home to a host that dispatches it at most once.
struct forward_request
{
    enum class purpose {
        decide, ///< Sent to the home of the identifier.
        dispatch, ///< A dispatch command from the home.
    };

    purpose what = purpose::decide;
    request_id id;
    std::uint64_t forwarding = 0; ///< Number by which the sender matches the answer.
    incarnation senderEpoch = 0; ///< Returned in the answer, so that a restarted sender ignores it.
    /// Incarnation of the intended receiver. A restarted receiver has no record of the dispatch
    /// commands that its former incarnation executed, so it refuses commands for another
    /// incarnation.
    incarnation receiverEpoch = 0;
    std::int64_t timeLeftMs = 0;
    request_content content;

    friend bool operator==(const forward_request &a, const forward_request &b)
    {
        return std::tie(a.what, a.id, a.forwarding, a.senderEpoch, a.receiverEpoch, a.timeLeftMs,
                        a.content)
            == std::tie(b.what, b.id, b.forwarding, b.senderEpoch, b.receiverEpoch, b.timeLeftMs,
                        b.content);
    }
    friend bool operator!=(const forward_request &a, const forward_request &b) { return !(a == b); }
};

/// Answers a forward_request.
struct forward_answer
{
    request_id id;
    std::uint64_t forwarding = 0; ///< Copied from the request.
    incarnation senderEpoch = 0; ///< Copied from the request.
    request_outcome result;

    friend bool operator==(const forward_answer &a, const forward_answer &b)
    {
        return std::tie(a.id, a.forwarding, a.senderEpoch, a.result)
            == std::tie(b.id, b.forwarding, b.senderEpoch, b.result);
    }
    friend bool operator!=(const forward_answer &a, const forward_answer &b) { return !(a == b); }
};

/// Asks the home of an identifier for the outcome.
struct ask_outcome
{
    request_id id;
    std::uint64_t query = 0; ///< Number by which the sender matches the answer.
    incarnation senderEpoch = 0; ///< Returned in the answer.

    friend bool operator==(const ask_outcome &a, const ask_outcome &b)
    {
        return std::tie(a.id, a.query, a.senderEpoch) == std::tie(b.id, b.query, b.senderEpoch);
    }
    friend bool operator!=(const ask_outcome &a, const ask_outcome &b) { return !(a == b); }
};

/// Answers ask_outcome.
struct outcome
{
    request_id id;
    std::uint64_t query = 0; ///< Copied from the query.
    incarnation senderEpoch = 0; ///< Copied from the query.
    request_outcome result;

    friend bool operator==(const outcome &a, const outcome &b)
    {
        return std::tie(a.id, a.query, a.senderEpoch, a.result)
            == std::tie(b.id, b.query, b.senderEpoch, b.result);
    }
    friend bool operator!=(const outcome &a, const outcome &b) { return !(a == b); }
};

/// Any message of the urgent path.
using urgent_message = std::variant<forward_request, forward_answer, ask_outcome, outcome>;

} // namespace crocuswind

#endif
