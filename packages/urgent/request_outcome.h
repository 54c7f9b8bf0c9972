/// Defines the outcomes that are reported for a request (design 2.3, "Outcomes").
#ifndef CROCUSWIND_URGENT_REQUEST_OUTCOME_H
#define CROCUSWIND_URGENT_REQUEST_OUTCOME_H

#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace crocuswind {

/// The state of a request. `pending` is reported to queries only; the others are outcomes.
enum class outcome_kind { pending, answered, not_run, unknown };

/// Why a request was not run, or why its outcome is unknown.
enum class outcome_reason {
    none, ///< For `pending` and `answered`.
    draining, ///< This entry host is being stopped.
    no_capacity, ///< This host has no usable seat and knows no other host that has one.
    no_runner, ///< No live runner provides the service.
    queue_full, ///< The queue of the team, or of the host, is full.
    memory_full, ///< The payloads held by this host have reached their size limit.
    deadline_too_near, ///< The expected wait and service time exceed the time left.
    deadline_passed, ///< The deadline passed while the request was queued.
    start_too_late, ///< An urgent request could not start within the limit for urgent work.
    /// The queued request was removed, either for an urgent request of the same team or, in a full
    /// queue, for a request of a team that uses less of its share.
    displaced,
    refused_by_runner, ///< Every permitted attempt was refused before it started.
    caller_gone, ///< The caller closed its connection before the request completed.
    identifier_missing, ///< An unrepeatable request came without an identifier.
    identifiers_exhausted, ///< The ledger holds the maximum number of identifiers.
    identifier_expired, ///< The identifier was issued more than 10 minutes ago, or never.
    home_gone, ///< The home of the identifier is gone or has another incarnation.
    peer_silent, ///< The host that the request was forwarded to sent no conclusive answer.
    runner_silent, ///< A runner may have received the request but gave no complete answer in time.
    runner_failed, ///< The runner reported a failure after the start.
    answer_dropped, ///< The request was answered, but the answer is no longer stored.
};

/// Formats a kind as used in HTTP bodies and peer messages.
std::string_view toString(outcome_kind kind);

/// Formats a reason as a short word with underscores, for bodies, messages, metrics and logs.
std::string_view toString(outcome_reason reason);

/// Parses an outcome kind formatted by toString(). Returns nothing for any other text.
std::optional<outcome_kind> parseOutcomeKind(std::string_view text);

/// Parses an outcome reason formatted by toString(). Returns nothing for any other text.
std::optional<outcome_reason> parseOutcomeReason(std::string_view text);

/// The state or outcome of a request as known to this host.
struct request_outcome
{
    outcome_kind kind = outcome_kind::pending;
    outcome_reason reason = outcome_reason::none;
    std::string answer; ///< The complete answer, if `kind` is `answered`.

    friend bool operator==(const request_outcome &a, const request_outcome &b)
    {
        return std::tie(a.kind, a.reason, a.answer) == std::tie(b.kind, b.reason, b.answer);
    }
    friend bool operator!=(const request_outcome &a, const request_outcome &b) { return !(a == b); }
};

/// Returns the outcome `not_run` with \p reason.
inline request_outcome notRun(outcome_reason reason)
{
    return {outcome_kind::not_run, reason, {}};
}

/// Returns the outcome `unknown` with \p reason.
inline request_outcome unknownOutcome(outcome_reason reason)
{
    return {outcome_kind::unknown, reason, {}};
}

} // namespace crocuswind

#endif
