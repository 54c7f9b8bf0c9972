/// Defines what `crocuswind load` counts and how it reports it.
#ifndef CROCUSWIND_CROCUSWIND_LOAD_REPORT_H
#define CROCUSWIND_CROCUSWIND_LOAD_REPORT_H

#include "base/base.h"
#include "protocol/protocol.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crocuswind {

/// How the requests of one class fared.
struct load_request_counts
{
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t answeredInTime = 0; ///< Within the deadline, from the intended send time.
    std::int64_t wrongAnswers = 0; ///< Answers without the request's own payload (I4).
    std::int64_t unknown = 0; ///< Definite only after the end, or never.
    std::int64_t resolvedLater = 0; ///< Unknown ones whose outcome was found by asking.
    std::int64_t notConnected = 0; ///< No entry host could be reached; nothing was sent.
    std::map<std::string, std::int64_t> refused; ///< Not run, by reason.
    std::map<std::string, std::int64_t> errors; ///< Other answers, by status.
    std::vector<std::int64_t> latenciesUs; ///< Of the answered ones, from the intended send time.
};

/// How the jobs fared, from their submissions and the listings at the end.
struct load_job_counts
{
    std::int64_t submitted = 0;
    std::int64_t accepted = 0;
    std::int64_t unknown = 0; ///< No answer to the submission.
    std::map<std::string, std::int64_t> refused; ///< By status.
    std::map<std::string, std::int64_t> states; ///< Of the accepted ones, at the end.
    std::int64_t evictions = 0; ///< Attempts that ended without being finished or failed.
    std::int64_t failures = 0; ///< Attempts that failed.
    std::int64_t doubled = 0; ///< Jobs that two listings show on different workers.
    std::int64_t lost = 0; ///< Accepted jobs that no listing shows.
    bool isListed = false; ///< Whether all listings could be read.
};

/// The whole report.
struct load_report
{
    load_request_counts urgent;
    load_request_counts normal;
    load_job_counts jobs;
    std::int64_t elapsedMs = 0;
};

/// Returns the latency at \p permille of \p sorted latencies, 0 if there are none.
std::int64_t percentile(const std::vector<std::int64_t> &sorted, int permille);

/// Returns the attempts of a task that ended without being finished or failed.
int evictionsOf(const caller_task &task);

/// Counts the jobs of the listings of all entry hosts. \p accepted are the jobs whose acceptance
/// was acknowledged; jobs of others in the listings are ignored.
void countListings(const std::vector<std::vector<caller_job_view>> &listings,
                   const std::vector<job_id> &accepted, load_job_counts &counts);

/// Formats the report as text.
std::string reportText(load_report report);

/// Formats the report as JSON.
nlohmann::json reportJson(load_report report);

} // namespace crocuswind

#endif
