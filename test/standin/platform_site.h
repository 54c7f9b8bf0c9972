/// Defines stand-ins for the users' platform: its metadata store and its workers. They listen on
/// the loopback interface and run in the event loop of the test.
#ifndef CROCUSWIND_STANDIN_PLATFORM_SITE_H
#define CROCUSWIND_STANDIN_PLATFORM_SITE_H

#include "io/io.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind::standin {

/// Returns the operator's configuration with one queue, `jobs.example/q/`, on the service `pool`.
nlohmann::json oneQueueConfiguration();

/// The platform's metadata store: items with revisions, leases, transactions, and watches that wait
/// for changes.
class platform_store
{
public:
    explicit platform_store(event_loop &loop);
    ~platform_store();

    std::string address() const { return m_address; }

    /// Writes a JSON value to a key, as the operator or a worker does.
    void put(const std::string &key, const nlohmann::json &value);

    /// Writes arbitrary bytes to a key, as a writer does that violates the platform's data format.
    void putBytes(const std::string &key, const std::string &bytes);

    /// Removes a key, as the operator does.
    void remove(const std::string &key);

    /// Removes a key and forgets all changes until now, so that no watch reports the removal.
    void removeUnseen(const std::string &key);

    /// Returns all keys with a prefix.
    std::vector<std::string> keys(const std::string &prefix) const;

    /// Makes the store answer every call with status 503, or work normally again. No lease expires
    /// while the store refuses calls.
    void setRefusing(bool isRefusing) { m_isRefusing = isRefusing; }

    /// Makes the store answer reads of exactly this prefix with status 503.
    void refuseRange(const std::string &prefix) { m_refusedRange = prefix; }

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct change
    {
        std::string key;
        std::int64_t revision = 0;
        bool isRemoved = false;
    };
    struct waiting_watch
    {
        std::string prefix;
        std::int64_t after = 0;
        http_responder responder;
        instant until;
    };

    void handle(const http_request &request, const http_responder &responder);
    http_response range(const std::string &prefix) const;
    http_response transact(const nlohmann::json &body);
    http_response grant(const nlohmann::json &body);
    http_response keepAlive(std::int64_t lease);
    void endLease(std::int64_t lease);
    void recordChange(const std::string &key, bool isRemoved);
    void answerWatches();
    void tick();
    nlohmann::json toJson(const std::string &key, const item &i) const;

    event_loop &m_loop;
    std::unique_ptr<http_server> m_server;
    std::string m_address;
    std::map<std::string, item> m_items;
    std::vector<change> m_changes;
    std::int64_t m_forgottenUntil = 0; ///< Changes up to this revision are forgotten.
    std::map<std::int64_t, std::pair<std::int64_t, instant>> m_leases; ///< TTL in ms and expiry.
    std::vector<waiting_watch> m_watches;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    bool m_isRefusing = false;
    std::string m_refusedRange; ///< Empty if no range is refused.
    timer_id m_timer = 0;
};

/// A worker of the platform. Every task succeeds after a fixed run time, apart from those whose
/// payload begins with `lasting`: they run until they are stopped and report a latency.
class platform_worker
{
public:
    platform_worker(event_loop &loop, std::string id, duration runTime);
    ~platform_worker();

    /// Returns the worker's entry for service discovery.
    nlohmann::json entry() const;

    const std::string &id() const { return m_id; }

    /// Returns the number of starts of each task, by task name.
    const std::map<std::string, int> &starts() const { return m_starts; }

private:
    struct run_state
    {
        int run = 0;
        instant endsAt;
        bool isLasting = false;
    };
    struct waiting_poll
    {
        nlohmann::json body;
        http_responder responder;
        instant until;
    };

    void handle(const http_request &request, const http_responder &responder);
    http_response start(const nlohmann::json &body);
    http_response stop(const nlohmann::json &body);
    http_response report(const nlohmann::json &body);

    /// Records the fencing token of a command. Returns true if it is below the highest one seen.
    bool hasStaleFencingToken(const nlohmann::json &body);
    void tick();
    std::int64_t clockMs() const;

    event_loop &m_loop;
    std::string m_id;
    duration m_runTime;
    std::unique_ptr<http_server> m_server;
    std::string m_address;
    instant m_startTime;
    std::int64_t m_highestEpoch = 0;
    std::map<std::string, run_state> m_runs;
    nlohmann::json m_completedRuns = nlohmann::json::array();
    std::int64_t m_lastCompletionNumber = 0;
    std::map<std::string, int> m_starts;
    std::vector<waiting_poll> m_polls;
    timer_id m_timer = 0;
};

} // namespace crocuswind::standin

#endif
