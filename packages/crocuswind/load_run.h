/// Defines how `crocuswind load` sends the planned load and collects the outcomes.
#ifndef CROCUSWIND_CROCUSWIND_LOAD_RUN_H
#define CROCUSWIND_CROCUSWIND_LOAD_RUN_H

#include "command.h"
#include "load_plan.h"
#include "load_report.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuswind {

/// Settings of a run other than the mix.
struct load_run_settings
{
    std::vector<ip_endpoint> entries; ///< Called in turn (round robin).
    int connections = 512; ///< Maximum number of connections to each entry host.
    std::int64_t jobWaitMs = 30000; ///< Maximum wait for jobs to finish after the load, in ms.
    bool checksAnswers = false; ///< Count answers that lack the request's payload.
    bool isQuiet = false; ///< Print no progress lines.
};

/// Sends the load once and collects the report.
class load_run
{
public:
    load_run(event_loop &loop, const load_mix &mix, load_run_settings settings);

    /// Sends the whole load and returns the report. Prints progress to standard error once a
    /// second.
    load_report run();

private:
    struct open_request
    {
        planned_request plan;
        instant intended;
        std::string id; ///< Empty while no identifier is known.
        std::string payload;
        std::size_t failedConnects = 0; ///< Number of failed connection attempts.
    };

    using request_pointer = std::shared_ptr<open_request>;

    void sendNext();
    void startRequest(const planned_request &plan, instant intended);
    void fetchIdentifier(const request_pointer &r);
    void sendRequest(const request_pointer &r);
    void onRequestResult(const request_pointer &r, const http_result &result);
    void startJob(const planned_job &plan);
    void sendJob(const job_id &id, const std::string &body, int attemptsLeft);
    void queryUnknownOutcomes();
    void readListings(instant deadline);
    std::size_t countFinished(const std::vector<std::vector<caller_job_view>> &listings) const;
    void send(const std::string &path, const std::string &body, instant deadline,
              http_client::done_callback done);
    load_request_counts &countsOf(const planned_request &plan);
    instant deadlineOf(const open_request &r) const;
    void reportProgress();

    event_loop &m_loop;
    load_mix m_mix;
    load_run_settings m_settings;
    load_plan m_plan;
    http_client m_client;
    load_report m_report;
    instant m_start;
    std::string m_runName; ///< Unique prefix of the run's job names.
    std::size_t m_nextEntry = 0;
    std::int64_t m_open = 0;
    bool m_isPlanDone = false;
    bool m_isWaitingForJobs = false;
    std::size_t m_finishedJobs = 0; ///< Accepted jobs that the last listings show as finished.
    std::vector<request_pointer> m_unknown;
    std::vector<job_id> m_accepted;
};

} // namespace crocuswind

#endif
