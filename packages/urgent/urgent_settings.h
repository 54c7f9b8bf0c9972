/// Defines the settings and limits of the request core.
#ifndef CROCUSWIND_URGENT_URGENT_SETTINGS_H
#define CROCUSWIND_URGENT_URGENT_SETTINGS_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>

namespace crocuswind {

/// The routing policy that chooses among the runners that may receive a request.
enum class routing_kind {
    random,
    round_robin,
    least_loaded, ///< The runner with the least reported load; reports lag.
    two_choices, ///< The one of two random runners with the smaller reported load.
    least_wait, ///< The runner with the least expected wait, estimated from this host's attempts.
};

/// Settings of a request_core. The defaults are the values of the design document.
struct urgent_settings
{
    host_id host;
    incarnation epoch = 0;
    data_centre_id dataCentre;
    std::uint64_t seed = 0;
    routing_kind routing = routing_kind::least_wait;

    duration identifierLifetime = 600s;
    /// At 590 requests a second 354,000 identifiers are live. The limit allows ten times that rate;
    /// an entry takes three bytes.
    std::size_t maxIdentifiers = 4'000'000;
    /// Total size of the answers kept for repeated requests and queries. The oldest are discarded
    /// first.
    std::size_t maxAnswerBytes = 8'000'000;
    /// Identifiers of dispatch commands remembered to detect duplicates. Each is kept for the
    /// lifetime of an identifier.
    std::size_t maxDispatchCommands = 100'000;
    /// Total size of the payloads of queued and running requests.
    std::size_t maxPayloadBytes = 16'000'000;
    std::size_t maxQueuedForTeam = 256;
    std::size_t maxQueued = 2'048;
    /// Callers and peers that can wait for the same request. Further submissions of the request are
    /// answered with `pending`.
    std::size_t maxWaiters = 8;
    /// Maximum number of forwarded requests that await a peer's answer. The same limit applies
    /// separately to outcome queries.
    std::size_t maxForwarded = 4'096;
    duration maxTimeLeft = 60s; ///< Later deadlines are shortened to this, to bound held state.

    duration dispatchLimit = 5s; ///< Longest time from a dispatch to the attempt's deadline.
    /// A runner counts the time left from the arrival of the request, so it may work on the request
    /// until this long after the attempt's deadline. The slot is held until then.
    duration slotMargin = 250ms;
    duration quarantineMargin = 1s; ///< Allowance for clock drift, added to dispatchLimit.
    duration peerGrace = 500ms; ///< How long after the deadline a peer's answer is awaited.
    duration queryTimeout = 1s; ///< Timeout of ask_outcome.

    /// After a drain starts, the load balancer may send requests for this long; they are accepted.
    duration drainDelay = 2s;
    duration drainLimit = 30s; ///< Longest duration of a drain.

    /// An urgent request that cannot start within this time is rejected, whatever its deadline.
    /// Otherwise queues would grow during an overload until every request starts late.
    duration urgentStartLimit = 1400ms;

    int maxAttempts = 2; ///< Attempts per request, including the first.
    double retryRatio = 0.1; ///< Retries that each first attempt of a team adds to its budget.
    double maxRetryCredit = 10; ///< Largest number of retries that a team can accumulate.
    duration retryBackoff = 20ms; ///< Doubled for each further attempt, with 50% jitter.
    /// Fraction of the slots that normal requests leave free, so that an urgent request finds a
    /// free slot immediately.
    double urgentReserve = 0.05;
};

} // namespace crocuswind

#endif
