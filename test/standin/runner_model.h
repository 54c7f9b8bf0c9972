/// Defines a runner as a state machine, and the record that all stand-in runners share: which
/// request ran how often. Time comes with each call, so it runs in virtual time.
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

/// Which request ran how often, over all runners.
class request_audit
{
public:
    /// Notes a start; \p mustRunOnce marks a request that is unrepeatable (I6).
    void started(const std::string &id, bool mustRunOnce);
    void ended(const std::string &id);

    /// Returns how often a request was started.
    int runs(const std::string &id) const;

    /// Sums up all requests: how many there were, and how many ran more than once or at the same
    /// time (I6 if they were unrepeatable), with the names of at most 20.
    nlohmann::json summary() const;

private:
    struct history
    {
        int runs = 0;
        int running = 0;
        int highestRunning = 0;
        bool mustRunOnce = false;
    };

    std::unordered_map<std::string, history> m_requests;
};

/// How the time that a request takes is distributed around its mean.
enum class service_distribution { fixed, exponential, lognormal };

/// What a runner is, and its faults; percentages are of the requests.
struct runner_settings
{
    std::string name;
    int slots = 8;
    int connections = 64; ///< More requests at a time are refused before they start.
    double serviceMs = 20; ///< Mean.
    service_distribution distribution = service_distribution::exponential;
    double slowFactor = 1; ///< Multiplies the time of requests that start from now on.
    int errorPercent = 0; ///< Answered with 500 at once, after the start.
    int refusePercent = 0; ///< Refused before the start.
    int truncatePercent = 0; ///< Run, but the answer is cut short.
    int losePercent = 0; ///< Run, but the connection closes without an answer.
    bool isLeaving = false; ///< Every answer says so.
};

/// How a request ended.
enum class runner_end {
    answered,
    failed, ///< Status 500 after the start.
    refused, ///< Status 503 before the start.
    truncated,
    lost,
};

/// A request that ended.
struct runner_finish
{
    std::uint64_t token = 0;
    runner_end end = runner_end::answered;
};

/// One runner.
class runner_model
{
public:
    runner_model(runner_settings settings, std::uint64_t seed, request_audit &audit);

    /// Takes in a request under a token of the caller's choice. It ends, then or later, with an
    /// element of what advance() returns. A request whose time is over before it has a slot is
    /// refused before it starts.
    void arrive(instant now, std::uint64_t token, const std::string &id, instant deadline,
                bool mustRunOnce = false);

    /// Brings the runner to \p now and returns the requests that have ended since.
    std::vector<runner_finish> advance(instant now);

    /// Returns when the next request ends.
    std::optional<instant> nextEnd() const;

    runner_settings &settings() { return m_settings; }

    /// Notes that the runner is leaving from \p now on; arrivals more than 3 s later are counted.
    void leave(instant now);

    /// Returns the counts of this runner.
    nlohmann::json stats() const;

private:
    struct waiting_request
    {
        std::uint64_t token = 0;
        std::string id;
        instant deadline;
        bool mustRunOnce = false;
    };

    struct running_request
    {
        std::uint64_t token = 0;
        std::string id;
        runner_end end = runner_end::answered;
    };

    void startWaiting(instant now);
    duration drawTime();
    bool draw(int percent) { return percent > 0 && int(m_random.below(100)) < percent; }

    runner_settings m_settings;
    seeded_random m_random;
    request_audit &m_audit;
    std::deque<waiting_request> m_waiting;
    std::multimap<instant, running_request> m_running;
    std::vector<runner_finish> m_finished;
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
