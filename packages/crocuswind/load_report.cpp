#include "load_report.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace crocuswind {

namespace {

constexpr int reportedPermilles[] = {500, 900, 990, 999, 1000};

std::string permilleName(int permille)
{
    if (permille == 1000)
        return "max";
    return permille % 10 == 0 ? fmt::format("p{}", permille / 10)
                              : fmt::format("p{}.{}", permille / 10, permille % 10);
}

std::int64_t sumOf(const std::map<std::string, std::int64_t> &counts)
{
    std::int64_t sum = 0;
    for (const auto &[name, count] : counts)
        sum += count;
    return sum;
}

std::string formatCounts(const std::map<std::string, std::int64_t> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts)
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, count);
    return text.empty() ? "none" : text;
}

double perSecond(std::int64_t count, std::int64_t elapsedMs)
{
    return elapsedMs > 0 ? double(count) * 1000 / double(elapsedMs) : 0;
}

std::string requestText(const std::string &name, load_request_counts &c, std::int64_t elapsedMs)
{
    if (c.sent == 0)
        return {};
    std::sort(c.latenciesUs.begin(), c.latenciesUs.end());
    std::string latencies;
    for (const int permille : reportedPermilles)
        latencies += fmt::format("  {} {:.1f}", permilleName(permille),
                                 double(percentile(c.latenciesUs, permille)) / 1000);
    std::string text = fmt::format("{} requests: {} sent, {} answered, {} in time ({:.1f} a "
                                   "second)\n",
                                   name, c.sent, c.answered, c.answeredInTime,
                                   perSecond(c.answeredInTime, elapsedMs));
    text += fmt::format("  latency in ms from the intended send time:{}\n", latencies);
    text += fmt::format("  not run: {}\n", formatCounts(c.refused));
    text += fmt::format("  unknown: {}, of which {} were found by asking\n", c.unknown,
                        c.resolvedLater);
    text += fmt::format("  not connected: {}; other answers: {}; wrong answers: {}\n",
                        c.notConnected, formatCounts(c.errors), c.wrongAnswers);
    return text;
}

nlohmann::json requestJson(load_request_counts &c, std::int64_t elapsedMs)
{
    std::sort(c.latenciesUs.begin(), c.latenciesUs.end());
    nlohmann::json latencies = nlohmann::json::object();
    for (const int permille : reportedPermilles)
        latencies[permilleName(permille)] = double(percentile(c.latenciesUs, permille)) / 1000;
    return {{"sent", c.sent},
            {"answered", c.answered},
            {"answered_in_time", c.answeredInTime},
            {"goodput_per_second", perSecond(c.answeredInTime, elapsedMs)},
            {"latency_ms", latencies},
            {"not_run", c.refused},
            {"unknown", c.unknown},
            {"resolved_later", c.resolvedLater},
            {"not_connected", c.notConnected},
            {"other_answers", c.errors},
            {"wrong_answers", c.wrongAnswers}};
}

} // namespace

std::int64_t percentile(const std::vector<std::int64_t> &sorted, int permille)
{
    if (sorted.empty())
        return 0;
    // Nearest rank: the smallest value such that at least this share of all values is no larger.
    const std::size_t rank = (sorted.size() * std::size_t(permille) + 999) / 1000;
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

int evictionsOf(const caller_task &task)
{
    const int ended = task.attempts - task.failures;
    // The last attempt of a claimed task is still running, and that of a finished task was not
    // evicted. The last attempt of a failed task is already counted as a failure.
    const bool isLastAttemptNotEvicted
        = task.state == "claimed" || task.state == "done" || task.state == "cancelled";
    return std::max(0, ended - (isLastAttemptNotEvicted ? 1 : 0));
}

void countListings(const std::vector<std::vector<caller_job_view>> &listings,
                   const std::vector<job_id> &accepted, load_job_counts &counts)
{
    const std::set<job_id> acceptedIds(accepted.begin(), accepted.end());
    std::map<job_id, const caller_job_view *> seen;
    std::set<job_id> duplicated;
    for (const std::vector<caller_job_view> &listing : listings) {
        for (const caller_job_view &view : listing) {
            if (acceptedIds.count(view.id) == 0)
                continue;
            const auto [first, isNew] = seen.emplace(view.id, &view);
            if (isNew)
                continue;
            // The listings are read at different times, so different workers are an error only for
            // the same attempt.
            const caller_job_view &other = *first->second;
            for (std::size_t i = 0; i < std::min(view.tasks.size(), other.tasks.size()); ++i) {
                const caller_task &a = view.tasks[i];
                const caller_task &b = other.tasks[i];
                if (a.attempts == b.attempts && !a.worker.empty() && !b.worker.empty()
                    && a.worker != b.worker)
                    duplicated.insert(view.id);
            }
        }
    }
    for (const auto &[id, view] : seen) {
        ++counts.states[view->state];
        for (const caller_task &t : view->tasks) {
            counts.evictions += evictionsOf(t);
            counts.failures += t.failures;
        }
    }
    counts.duplicated = std::int64_t(duplicated.size());
    counts.lost = std::int64_t(acceptedIds.size() - seen.size());
}

std::string reportText(load_report r)
{
    std::string text = fmt::format("load ran for {:.1f} s\n", double(r.elapsedMs) / 1000);
    text += requestText("urgent", r.urgent, r.elapsedMs);
    text += requestText("normal", r.normal, r.elapsedMs);
    const load_job_counts &j = r.jobs;
    if (j.submitted > 0) {
        text += fmt::format("jobs: {} submitted, {} accepted, {} unknown, not accepted: {}\n",
                            j.submitted, j.accepted, j.unknown, formatCounts(j.refused));
        text += fmt::format("  states: {}\n", formatCounts(j.states));
        if (j.isListed)
            text += fmt::format("  evictions: {}; failures: {}; doubled: {}; lost: {}\n",
                                j.evictions, j.failures, j.duplicated, j.lost);
        else
            text += "  the listings could not be read, so lost and doubled jobs are not known\n";
    }
    return text;
}

nlohmann::json reportJson(load_report r)
{
    const load_job_counts &j = r.jobs;
    nlohmann::json jobs
        = {{"submitted", j.submitted},  {"accepted", j.accepted}, {"unknown", j.unknown},
           {"not_accepted", j.refused}, {"states", j.states},     {"listed", j.isListed}};
    if (j.isListed) {
        jobs["evictions"] = j.evictions;
        jobs["failures"] = j.failures;
        jobs["doubled"] = j.duplicated;
        jobs["lost"] = j.lost;
    }
    return {{"elapsed_ms", r.elapsedMs},
            {"urgent", requestJson(r.urgent, r.elapsedMs)},
            {"normal", requestJson(r.normal, r.elapsedMs)},
            {"refused_in_all", sumOf(r.urgent.refused) + sumOf(r.normal.refused)},
            {"jobs", jobs}};
}

} // namespace crocuswind
