/// Defines a model of a runner, and the audit that all stand-in runners share and that counts how
/// often each request ran. The caller passes the current time to each function, so tests can run
/// the model in virtual time.
#ifndef CROCUSWIND_STANDIN_RUNNER_MODEL_H
#define CROCUSWIND_STANDIN_RUNNER_MODEL_H

#include "base/base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuswind::standin {

/// Counts how often each request ran, over all runners.
class request_audit
{
public:
    /// Records the start of a request. \p isUnrepeatable marks a request that must not run more
    /// than once (invariant I6).
    void started(const std::string &id, bool isUnrepeatable);

    /// Records the completion of a run of a request.
    void ended(const std::string &id);

    /// Returns how many times a request was started.
    int runs(const std::string &id) const;

    /// Returns totals over all requests: how many there were, how many ran more than once, and the
    /// highest number of concurrent runs of one request. An unrepeatable request that ran more than
    /// once violates invariant I6. Lists the identifiers of at most 20 repeated requests.
    nlohmann::json summary() const;

private:
    struct history
    {
        int runs = 0;
        int running = 0;
        int highestRunning = 0;
        bool isUnrepeatable = false;
    };

    std::unordered_map<std::string, history> m_requests;
};

/// The probability distribution of service times.
enum class service_distribution { fixed, exponential, lognormal };

/// The capacity, the service times and the injected faults of a runner. Percentages are shares of
/// the requests.
struct runner_settings
{
    std::string name;
    int slots = 8;
    int connections = 64; ///< Maximum of waiting and running requests; more are refused.
    double serviceMs = 20; ///< Mean service time in ms.
    service_distribution distribution = service_distribution::exponential;
    double slowFactor = 1; ///< Factor on the service time of requests that start later.
    int errorPercent = 0; ///< Started, then answered with status 500 immediately.
    int refusePercent = 0; ///< Refused before they start.
    int truncatePercent = 0; ///< Executed, but the response body is truncated.
    int losePercent = 0; ///< Executed, but the connection is closed without a response.
    bool isLeaving = false; ///< Set in a header of every response.
};

/// How the runner completes a request.
enum class request_completion {
    answered,
    failed, ///< Status 500 after the start.
    refused, ///< Status 503 before the start.
    truncated, ///< Executed, but the response body is incomplete.
    lost, ///< Executed, but the connection is closed without a response.
};

/// A completed request, identified by the token that the caller passed to arrive().
struct completed_request
{
    std::uint64_t token = 0;
    request_completion end = request_completion::answered;
};

/// Simulates one runner: a queue of requests in front of a fixed number of slots.
class runner_model
{
public:
    runner_model(runner_settings settings, std::uint64_t seed, request_audit &audit);

    /// Accepts a request and identifies it by \p token, which the caller chooses. A later call of
    /// advance() returns its completion. A request that gets no slot before its deadline is refused
    /// without being started.
    void arrive(instant now, std::uint64_t token, const std::string &id, instant deadline,
                bool isUnrepeatable = false);

    /// Advances the simulation to \p now. Returns the requests that completed since the last call.
    std::vector<completed_request> advance(instant now);

    /// Returns when the next running request completes, or nothing if none runs.
    std::optional<instant> nextCompletion() const;

    runner_settings &settings() { return m_settings; }

    /// Marks the runner as leaving from \p now on. Requests that arrive more than 3 s later are
    /// counted, because they violate invariant I7.
    void leave(instant now);

    /// Returns the counters of this runner, as its `/stats` page shows them.
    nlohmann::json stats() const;

private:
    struct waiting_request
    {
        std::uint64_t token = 0;
        std::string id;
        instant deadline;
        bool isUnrepeatable = false;
    };

    struct running_request
    {
        std::uint64_t token = 0;
        std::string id;
        request_completion end = request_completion::answered;
    };

    void startWaiting(instant now);
    duration drawServiceTime();
    bool draw(int percent) { return percent > 0 && int(m_random.below(100)) < percent; }

    runner_settings m_settings;
    seeded_random m_random;
    request_audit &m_audit;
    std::deque<waiting_request> m_waiting;
    std::multimap<instant, running_request> m_running;
    std::vector<completed_request> m_finished;
    std::optional<instant> m_leavingSince;
    std::int64_t m_arrived = 0;
    std::int64_t m_started = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_answered = 0;
    std::int64_t m_arrivedAfterLeaving = 0;
    std::size_t m_highestConcurrent = 0;
};

} // namespace crocuswind::standin

#endif
