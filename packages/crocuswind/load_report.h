/// Defines the counts that `crocuswind load` collects and their report as text and JSON.
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

/// Outcome counts of the requests of one urgency.
struct load_request_counts
{
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t answeredInTime = 0; ///< Within the deadline, from the intended send time.
    std::int64_t wrongAnswers = 0; ///< Answers that lack the payload of their request (I4).
    std::int64_t unknown = 0; ///< Outcome not known when the call ended.
    std::int64_t resolvedLater = 0; ///< Unknown outcomes that a later query resolved.
    std::int64_t notConnected = 0; ///< No entry host could be reached; nothing was sent.
    std::map<std::string, std::int64_t> refused; ///< Not run, by reason.
    std::map<std::string, std::int64_t> errors; ///< Other answers, by status.
    std::vector<std::int64_t> latenciesUs; ///< Of answered requests, from the intended send time.
};

/// Outcome counts of the jobs, from the submissions and the listings at the end of the load.
struct load_job_counts
{
    std::int64_t submitted = 0;
    std::int64_t accepted = 0;
    std::int64_t unknown = 0; ///< No answer to the submission.
    std::map<std::string, std::int64_t> refused; ///< Number of refusals by HTTP status.
    std::map<std::string, std::int64_t> states; ///< Number of accepted jobs by state at the end.
    std::int64_t evictions = 0; ///< Attempts that ended without completing or failing.
    std::int64_t failures = 0; ///< Attempts that failed.
    std::int64_t duplicated = 0; ///< Jobs with one attempt on different workers.
    std::int64_t lost = 0; ///< Accepted jobs that are missing from all listings.
    bool isListed = false; ///< True if all listings could be read.
};

/// The counts of one run of the load.
struct load_report
{
    load_request_counts urgent;
    load_request_counts normal;
    load_job_counts jobs;
    std::int64_t elapsedMs = 0;
};

/// Returns the nearest-rank percentile of \p sorted latencies, in permille, or 0 if there are none.
std::int64_t percentile(const std::vector<std::int64_t> &sorted, int permille);

/// Returns how many attempts of a task ended without completing or failing.
int evictionsOf(const caller_task &task);

/// Fills in \p counts from the listings, one per entry host. \p accepted are the jobs whose
/// acceptance was acknowledged; all other jobs in the listings are ignored.
void countListings(const std::vector<std::vector<caller_job_view>> &listings,
                   const std::vector<job_id> &accepted, load_job_counts &counts);

/// Formats the report as text.
std::string reportText(load_report report);

/// Formats the report as JSON.
nlohmann::json reportJson(load_report report);

} // namespace crocuswind

#endif
