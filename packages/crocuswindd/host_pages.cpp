#include "host_pages.h"

#include <nlohmann/json.hpp>

namespace crocuswind {

namespace {

using json = nlohmann::json;

const char *stateName(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        break;
    }
    return "left";
}

json membersJson(const membership_core &membership)
{
    json members = json::array();
    for (const auto &[host, m] : membership.members()) {
        json shown = {{"host", host.value},
                      {"data_centre", m.report.dataCentre.value},
                      {"state", stateName(m.report.state)},
                      {"leaving", m.report.leaving},
                      {"load_percent", m.report.loadPercent},
                      {"config_revision", m.report.configRevision},
                      {"watching", m.report.watching}};
        if (m.report.seat)
            shown["seat"] = *m.report.seat;
        members.push_back(std::move(shown));
    }
    return members;
}

json shardsJson(const std::vector<shard_status> &shards)
{
    json all = json::array();
    for (std::size_t number = 0; number < shards.size(); ++number) {
        const shard_status &s = shards[number];
        all.push_back({{"shard", number},
                       {"owner", s.isOwner},
                       {"epoch", s.epoch},
                       {"jobs", s.jobs},
                       {"waiting_tasks", s.waitingTasks},
                       {"claimed_tasks", s.claimedTasks},
                       {"workers", s.workers},
                       {"workers_aside", s.workersQuarantined},
                       {"commits", s.commits}});
    }
    return all;
}

json requestsJson(const request_counts &counts)
{
    return {{"may_dispatch", counts.mayDispatch},
            {"queued", counts.queued},
            {"running", counts.running},
            {"forwarded", counts.forwarded},
            {"slots", counts.slots},
            {"slots_taken", counts.slotsTaken},
            {"identifiers", counts.identifiers},
            {"ejected_runners", counts.ejectedRunners},
            {"leaving_runners", counts.leavingRunners},
            {"first_attempts", counts.firstAttempts},
            {"retries", counts.retries}};
}

} // namespace

void describeMetrics(metrics_registry &metrics)
{
    metrics.describe("crocuswind_request_outcomes_total",
                     "Outcomes told to callers, by outcome and reason.");
    metrics.describe("crocuswind_request_hop_seconds",
                     "Time of each hop of a request; hop 'queue' is the wait for a slot.");
    metrics.describe("crocuswind_store_calls_total", "Calls to the store, by part.");
    metrics.describe("crocuswind_peer_bytes_total", "Bytes of messages between entry hosts.");
    metrics.describe("crocuswind_request_slots", "Slots of this host's share of the runners.");
    metrics.describe("crocuswind_request_slots_taken", "Slots in use.");
    metrics.describe("crocuswind_requests_queued", "Requests that wait for a slot.");
    metrics.describe("crocuswind_config_revision", "Configuration revision in force.");
    metrics.describe("crocuswind_tasks", "Tasks of the shards owned, by state.");
    metrics.describe("crocuswind_workers", "Workers of the shards owned, by state.");
    metrics.describe("crocuswind_ready", "1 if the host is ready.");
}

void setGauges(metrics_registry &metrics, const host_page_sources &sources)
{
    metrics.set("crocuswind_request_slots", {}, double(sources.requests.slots));
    metrics.set("crocuswind_request_slots_taken", {}, double(sources.requests.slotsTaken));
    metrics.set("crocuswind_requests_queued", {}, double(sources.requests.queued));
    metrics.setTotal("crocuswind_request_attempts_total", {{"attempt", "first"}},
                     double(sources.requests.firstAttempts));
    metrics.setTotal("crocuswind_request_attempts_total", {{"attempt", "retry"}},
                     double(sources.requests.retries));
    metrics.set("crocuswind_config_revision", {}, double(sources.cluster.config().revision()));
    metrics.set("crocuswind_ready", {}, sources.notReady.empty() ? 1 : 0);
    std::size_t waiting = 0;
    std::size_t claimed = 0;
    std::size_t workers = 0;
    std::size_t quarantined = 0;
    for (const shard_status &s : sources.shards) {
        waiting += s.isOwner ? s.waitingTasks : 0;
        claimed += s.isOwner ? s.claimedTasks : 0;
        workers += s.isOwner ? s.workers : 0;
        quarantined += s.isOwner ? s.workersQuarantined : 0;
    }
    metrics.set("crocuswind_tasks", {{"state", "waiting"}}, double(waiting));
    metrics.set("crocuswind_tasks", {{"state", "claimed"}}, double(claimed));
    metrics.set("crocuswind_workers", {{"state", "listed"}}, double(workers));
    metrics.set("crocuswind_workers", {{"state", "aside"}}, double(quarantined));
}

std::string statusBody(const host_page_sources &sources)
{
    const json body = {{"host", sources.settings.host.value},
                       {"data_centre", sources.settings.dataCentre.value},
                       {"incarnation", sources.incarnationNumber},
                       {"ready", sources.notReady.empty()},
                       {"not_ready_reason", sources.notReady},
                       {"seat", sources.cluster.seatStatus()},
                       {"config_revision", sources.cluster.config().revision()},
                       {"members", membersJson(sources.cluster.membership())},
                       {"requests", requestsJson(sources.requests)},
                       {"shards", shardsJson(sources.shards)}};
    return body.dump(2) + "\n";
}

} // namespace crocuswind
