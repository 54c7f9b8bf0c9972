/// Defines a stand-in for a worker of the users' platform whose process may restart under its
/// identifier, and which may be dark or cut off. It keeps leases, and runs in the event loop of the
/// test.
#ifndef CROCUSWIND_STANDIN_RESTARTING_WORKER_H
#define CROCUSWIND_STANDIN_RESTARTING_WORKER_H

#include "http_service.h"
#include "platform_site.h"
#include "run_audit.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocuswind::standin {

/// Whether calls reach a worker.
enum class worker_reach {
    connected,
    dark, ///< Calls are held, and carried out once it is connected again. Their answers are lost.
    cut_off, ///< Calls are lost.
};

/// How long a task runs; nothing if it runs until it is stopped.
using run_time_function = std::function<std::optional<duration>(const std::string &task)>;

/// A worker with runs, a lease and a clock of its own. One object stands for all lives of its
/// process.
class restarting_worker
{
public:
    /// Adds its entry to \p store, whose service discovery it checks in with.
    restarting_worker(event_loop &loop, std::string id, platform_store &store, run_audit &audit,
                      run_time_function runTime);
    ~restarting_worker();
    restarting_worker(const restarting_worker &) = delete;
    restarting_worker &operator=(const restarting_worker &) = delete;

    const std::string &id() const { return m_id; }

    /// Makes it connected, dark or cut off. A check-in is lost unless it is connected.
    void setReach(worker_reach reach);

    /// The process restarts: its runs end, and it knows nothing of before.
    void restart();

private:
    struct run_state
    {
        int run = 0;
        std::optional<instant> endsAt;
        bool isStopping = false;
    };
    struct ended_run
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string reason;
    };
    struct waiting_poll
    {
        std::shared_ptr<http_exchange> exchange;
        instant until;
    };

    void handle(const std::shared_ptr<http_exchange> &exchange);
    /// Carries a command out. Returns the status and body of its response, or nothing for a poll
    /// that waits.
    std::optional<std::pair<int, nlohmann::json>>
    execute(const std::string &path, const nlohmann::json &body,
            const std::shared_ptr<http_exchange> &exchange);
    std::pair<int, nlohmann::json> start(const nlohmann::json &body);
    void stop(const nlohmann::json &body);
    void extendLease(const nlohmann::json &body);
    void forgetEnds(std::int64_t cursor);
    void endRun(const std::string &task, const std::string &reason);
    void endDueRuns();
    void answerPolls();
    void dropPolls();
    void forgetAbandonedCalls();
    void respond(const std::shared_ptr<http_exchange> &exchange, int status,
                 nlohmann::json body) const;
    nlohmann::json report() const;
    nlohmann::json entry();
    void checkIn();
    void tick();
    std::int64_t clockMs() const;
    std::int64_t millisecondsSinceBegin() const;
    audited_run audited(const std::string &task, int run) const { return {m_id, task, run}; }

    event_loop &m_loop;
    std::string m_id;
    platform_store &m_store;
    run_audit &m_audit;
    run_time_function m_runTime;
    http_service m_service;
    instant m_createdAt;
    worker_reach m_reach = worker_reach::connected;
    std::vector<std::shared_ptr<http_exchange>> m_held;
    /// Calls without an answer, whose connections stay open until the caller gives up.
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    int m_life = 0;
    int m_lifeBeforeDark = 0; ///< The one for which calls that are held were meant.
    instant m_bornAt;
    std::int64_t m_bornUnixMs = 0;
    std::int64_t m_sequence = 0;
    instant m_nextCheckIn;
    std::int64_t m_highestToken = 0;
    std::int64_t m_leaseUntilMs = 0; ///< On its clock.
    std::map<std::string, run_state> m_runs;
    std::map<std::string, int> m_highestRuns; ///< Stopped or ended, by task.
    std::vector<ended_run> m_ended;
    std::int64_t m_lastEnd = 0;
    std::vector<waiting_poll> m_polls;
    timer_id m_timer = 0;
};

} // namespace crocuswind::standin

#endif
