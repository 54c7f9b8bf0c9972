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

/// Counts for metrics and status pages.
struct request_counts
{
    std::size_t identifiers = 0; ///< Live in the ledger.
    std::size_t queued = 0;
    std::size_t running = 0; ///< Attempts that await a result.
    std::size_t slotsTaken = 0; ///< Including those of attempts whose runner may still be working.
    std::size_t slots = 0; ///< Of this host's share, over all live runners.
    std::size_t forwarded = 0; ///< Requests and queries that await a peer's answer.
    std::size_t orders = 0; ///< Dispatch orders remembered.
    std::size_t ejectedRunners = 0;
    std::size_t leavingRunners = 0;
    std::size_t answerBytes = 0;
    std::size_t payloadBytes = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;
    bool mayDispatch = false; ///< A seat is held, valid and out of quarantine.
    bool isDraining = false;
};

/// Decides everything about the urgent requests of one entry host in one life of its process.
/// It reads no clock and opens nothing; the same events yield the same actions.
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

    /// Handles one event and returns what is to be done, in order. A time before that of the last
    /// event is taken as the time of the last event.
    std::vector<urgent_action> handle(const urgent_event &event);

    /// Returns the expected wait of a new urgent request of each service that this host can
    /// dispatch, for the membership digest. Empty without a usable seat.
    std::vector<std::pair<service_id, duration>> expectedWaits() const;

    /// Returns true if a new request could be served, here or by a peer; the reason otherwise.
    bool isReady(std::string *reason) const;

    /// Returns the present counts.
    request_counts counts() const;

    /// Checks the internal invariants (slots against limits, bounds, consistent indexes) and
    /// returns a description of each violation. It takes time linear in the state; meant for tests.
    std::vector<std::string> violations() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace crocuswind

#endif
