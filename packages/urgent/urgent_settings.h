/// Defines the settings and bounds of the request core.
#ifndef CROCUSWIND_URGENT_URGENT_SETTINGS_H
#define CROCUSWIND_URGENT_URGENT_SETTINGS_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>

namespace crocuswind {

/// Which routing policy chooses among the runners that may receive a request.
enum class routing_kind {
    random,
    round_robin,
    least_loaded, ///< On the reported load, which lags.
    two_choices, ///< The less loaded by report of two runners drawn at random.
    least_wait, ///< Our own: least expected wait from this host's own attempts.
};

/// Settings of a request_core. The defaults are the design's figures.
struct urgent_settings
{
    host_id host;
    incarnation epoch = 0;
    data_centre_id dataCentre;
    std::uint64_t seed = 0;
    routing_kind routing = routing_kind::least_wait;

    duration identifierLifetime = 600s;
    /// At 590 requests a second 354,000 identifiers are live; the bound leaves room for bursts.
    std::size_t maxIdentifiers = 600'000;
    /// Answers kept for repeated requests and queries; the oldest are dropped first.
    std::size_t maxAnswerBytes = 8'000'000;
    /// Records of dispatch orders, each kept for the lifetime of an identifier.
    std::size_t maxOrders = 100'000;
    /// Payloads of queued and running requests together.
    std::size_t maxPayloadBytes = 16'000'000;
    std::size_t maxQueuedForTeam = 256;
    std::size_t maxQueued = 2'048;
    /// Callers and peers that wait for one request; repetitions beyond are told that it is pending.
    std::size_t maxWaiters = 8;
    /// Requests forwarded and queries asked that await a peer's answer.
    std::size_t maxForwarded = 4'096;
    duration maxTimeLeft = 60s; ///< Longer deadlines are shortened, so that state is freed.

    duration dispatchLimit = 5s; ///< Greatest time from a dispatch to its deadline.
    duration quarantineMargin = 1s; ///< Added to the dispatch limit for clock drift.
    duration peerGrace
        = 500ms; ///< Waiting for a peer's answer goes on this long past the deadline.
    duration questionTimeout = 1s; ///< For ask_outcome.

    duration drainDelay = 2s; ///< The balancer's delay.
    duration drainLimit = 30s;

    int maxAttempts = 2;
    double retryShare = 0.1; ///< Retries for each first attempt of a team.
    double maxRetryCredit = 10; ///< Retries that a quiet team can save up.
    duration retryBackoff = 20ms; ///< Doubled for each further attempt, jittered by half.
    /// Part of the slots that normal requests leave free, so that urgent ones find one at once.
    double urgentReserve = 0.1;
};

} // namespace crocuswind

#endif
