/// Defines the request core, the state machine of the urgent path on one entry host.
#ifndef CROCUSWIND_URGENT_REQUEST_CORE_H
#define CROCUSWIND_URGENT_REQUEST_CORE_H

#include "urgent_actions.h"
#include "urgent_events.h"
#include "urgent_settings.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind {

/// Counters and gauges for metrics and status pages.
struct request_counts
{
    std::size_t identifiers = 0; ///< Live identifiers in the ledger.
    std::size_t queued = 0;
    std::size_t running = 0; ///< Attempts whose result a request awaits.
    /// Slots in use, including those held because a runner may still be working on an attempt.
    std::size_t slotsTaken = 0;
    std::size_t slots = 0; ///< This host's share of the slots of all healthy runners.
    std::size_t forwarded = 0; ///< Requests and queries that await a peer's answer.
    std::size_t dispatchCommands = 0; ///< Dispatch commands remembered to detect duplicates.
    std::size_t ejectedRunners = 0;
    std::size_t leavingRunners = 0;
    std::size_t answerBytes = 0;
    std::size_t payloadBytes = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    bool mayDispatch = false; ///< A seat is held, valid and out of quarantine.
    bool isDraining = false;
};

/// The state machine of the requests of one entry host during one incarnation of its process. It
/// is deterministic: it reads no clock and does no I/O, so the same events yield the same actions.
/// \code
/// request_core core(settings);
/// for (const urgent_action &a : core.handle({now, identifier_asked{caller}}))
///     carryOut(a);
/// \endcode
class request_core
{
public:
    explicit request_core(const urgent_settings &settings);
    ~request_core();
    request_core(request_core &&) noexcept;
    request_core &operator=(request_core &&) noexcept;

    /// Handles one event and returns the actions to carry out, in order. If the event's time is
    /// earlier than that of the previous event, the time of the previous event is used.
    std::vector<urgent_action> handle(const urgent_event &event);

    /// Returns the expected queueing time of a new urgent request for each service that this host
    /// can dispatch, for the membership digest. Returns an empty list without a usable seat.
    std::vector<std::pair<service_id, duration>> expectedWaits() const;

    /// Returns true if a new request could be served by this host or by a peer. Otherwise returns
    /// false and stores an explanation in \p reason.
    bool isReady(std::string *reason) const;

    /// Returns the current counts.
    request_counts counts() const;

    /// Checks the internal invariants (slots within limits, size limits, consistent indexes) and
    /// returns a description of each violation. Takes time linear in the state; meant for tests.
    std::vector<std::string> violations() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace crocuswind

#endif
