#include "caller_bodies.h"

#include "workload_json.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <tuple>
#include <utility>

namespace crocuswind {

namespace {

using nlohmann::json;

constexpr std::size_t maxJobPayloadBytes = 16 * 1024;
constexpr std::size_t maxTextBytes = 4096;
constexpr int maxReplicasOfJob = 256;
constexpr std::int64_t maxRunMs = 30LL * 24 * 60 * 60 * 1000;

/// Bytes reserved in a listing for the field `next` and the closing brackets.
constexpr std::size_t listingReserveBytes = 1024;

template <class value, std::size_t count>
using word_table = std::array<std::pair<value, std::string_view>, count>;

constexpr word_table<caller_outcome::kind, 4> outcomeWords{
    {{caller_outcome::kind::pending, "pending"},
     {caller_outcome::kind::answered, "answered"},
     {caller_outcome::kind::not_run, "not_run"},
     {caller_outcome::kind::unknown, "unknown"}}};
constexpr word_table<caller_job_kind, 3> jobKindWords{{{caller_job_kind::finite, "finite"},
                                                       {caller_job_kind::continuous, "continuous"},
                                                       {caller_job_kind::service, "service"}}};
constexpr word_table<caller_job_urgency, 3> jobUrgencyWords{{{caller_job_urgency::low, "low"},
                                                             {caller_job_urgency::normal, "normal"},
                                                             {caller_job_urgency::high, "high"}}};
constexpr word_table<workload_urgency, 2> requestUrgencyWords{
    {{workload_urgency::urgent, "urgent"}, {workload_urgency::normal, "normal"}}};

template <class value, std::size_t count>
std::string_view wordOf(const word_table<value, count> &table, value v)
{
    for (const auto &[candidate, word] : table) {
        if (candidate == v)
            return word;
    }
    return {};
}

template <class value, std::size_t count>
std::optional<value> parseWord(const word_table<value, count> &table, std::string_view text)
{
    for (const auto &[candidate, word] : table) {
        if (word == text)
            return candidate;
    }
    return std::nullopt;
}

/// Reads a field whose text is one of the words of \p table. Returns \p defaultValue if the field
/// is missing; reports a finding if it is missing without a default.
template <class value, std::size_t count>
value readWord(json_fields &fields, const std::string &key, const word_table<value, count> &table,
               std::optional<value> defaultValue)
{
    if (!fields.has(key) && defaultValue) {
        (void)fields.text(key, maxTextBytes, "");
        return *defaultValue;
    }
    const bool isPresent = fields.has(key);
    const std::string text = fields.text(key, maxTextBytes, std::nullopt);
    const std::optional<value> parsed = parseWord(table, text);
    if (!parsed && isPresent) {
        std::vector<std::string_view> words;
        for (const auto &entry : table)
            words.push_back(entry.second);
        fields.report(key, fmt::format("must be one of \"{}\"", fmt::join(words, "\", \"")));
    }
    return parsed.value_or(table.front().first);
}

/// Parses a body that is one JSON object. \p read fills the value from the fields of the object.
template <class value, class reader>
tl::expected<value, findings> parseBody(std::string_view body, reader read)
{
    findings found;
    const json object = parseJsonObject(body, maxCallerBodyBytes, maxCallerBodyDepth, found);
    value parsed;
    if (found.empty()) {
        json_fields fields(object, "", found);
        read(fields, parsed, found);
    }
    if (!found.empty())
        return tl::unexpected(std::move(found));
    return parsed;
}

job_id readJobId(json_fields &fields)
{
    const bool isPresent = fields.has("job");
    const std::string text = fields.text("job", maxTextBytes, std::nullopt);
    std::optional<job_id> id = parseJobId(text);
    if (!id && isPresent)
        fields.report("job", "must have the form TEAM/NAME");
    return std::move(id).value_or(job_id{});
}

caller_task readTask(const json &object, const std::string &prefix, findings &found)
{
    json_fields fields(object, prefix, found);
    caller_task t;
    t.state = fields.text("state", maxTextBytes, std::nullopt);
    t.attempts = int(fields.number("attempts", 0, INT32_MAX, 0));
    t.failures = int(fields.number("failures", 0, INT32_MAX, 0));
    t.worker = fields.text("worker", maxTextBytes, "");
    t.checkpoint = fields.number("checkpoint", 0, INT64_MAX, 0);
    t.result = fields.text("result", maxCallerBodyBytes, "");
    return t;
}

void readJobView(json_fields &fields, const std::string &prefix, caller_job_view &v,
                 findings &found)
{
    v.id = readJobId(fields);
    v.kind = readWord(fields, "kind", jobKindWords, std::optional(caller_job_kind::finite));
    v.state = fields.text("state", maxTextBytes, std::nullopt);
    v.explanation = fields.text("explanation", maxCallerBodyBytes, "");
    if (!fields.has("tasks"))
        return;
    const json *tasks = fields.array("tasks");
    for (std::size_t i = 0; tasks && i < tasks->size(); ++i) {
        const std::string place = fmt::format("{}tasks[{}]", prefix, i);
        if ((*tasks)[i].is_object())
            v.tasks.push_back(readTask((*tasks)[i], place + ".", found));
        else
            found.push_back({source_place{place}, "must be an object"});
    }
}

json toJson(const caller_job_view &v)
{
    json tasks = json::array();
    int attempts = 0;
    std::string worker;
    std::string result;
    for (const caller_task &t : v.tasks) {
        tasks.push_back({{"state", t.state},
                         {"attempts", t.attempts},
                         {"failures", t.failures},
                         {"worker", t.worker},
                         {"checkpoint", t.checkpoint},
                         {"result", t.result}});
        attempts += t.attempts;
        worker = worker.empty() ? t.worker : worker;
        result = result.empty() ? t.result : result;
    }
    return {{"job", toString(v.id)}, {"kind", toString(v.kind)},
            {"state", v.state},      {"explanation", v.explanation},
            {"attempts", attempts},  {"worker", worker},
            {"result", result},      {"tasks", std::move(tasks)}};
}

} // namespace

bool operator==(const caller_request &a, const caller_request &b)
{
    const auto tied = [](const caller_request &r) {
        return std::tie(r.id, r.service, r.team, r.repeatable, r.urgency, r.timeLeftMs, r.payload);
    };
    return tied(a) == tied(b);
}

bool operator==(const caller_outcome &a, const caller_outcome &b)
{
    return std::tie(a.id, a.what, a.answer, a.reason, a.ask)
        == std::tie(b.id, b.what, b.answer, b.reason, b.ask);
}

bool operator==(const caller_job &a, const caller_job &b)
{
    return std::tie(a.id, a.kind, a.urgency, a.size, a.runMs, a.replicas, a.payload)
        == std::tie(b.id, b.kind, b.urgency, b.size, b.runMs, b.replicas, b.payload);
}

bool operator==(const caller_task &a, const caller_task &b)
{
    return std::tie(a.state, a.attempts, a.failures, a.worker, a.checkpoint, a.result)
        == std::tie(b.state, b.attempts, b.failures, b.worker, b.checkpoint, b.result);
}

bool operator==(const caller_job_view &a, const caller_job_view &b)
{
    return std::tie(a.id, a.kind, a.state, a.explanation, a.tasks)
        == std::tie(b.id, b.kind, b.state, b.explanation, b.tasks);
}

std::string_view toString(caller_outcome::kind kind)
{
    return wordOf(outcomeWords, kind);
}

std::string_view toString(caller_job_kind kind)
{
    return wordOf(jobKindWords, kind);
}

std::string_view toString(caller_job_urgency urgency)
{
    return wordOf(jobUrgencyWords, urgency);
}

std::optional<caller_job_kind> parseCallerJobKind(std::string_view text)
{
    return parseWord(jobKindWords, text);
}

std::optional<caller_job_urgency> parseCallerJobUrgency(std::string_view text)
{
    return parseWord(jobUrgencyWords, text);
}

tl::expected<caller_request, findings> parseCallerRequest(std::string_view body)
{
    return parseBody<caller_request>(body, [](json_fields &f, caller_request &r, findings &) {
        const std::string id = f.text("id", maxTextBytes, "");
        if (!id.empty()) {
            r.id = parseRequestId(id);
            if (!r.id)
                f.report("id", "must be an identifier from POST /v1/request-ids");
        }
        r.service.value = f.name("service");
        r.team.value = f.name("team");
        r.repeatable = f.flag("repeatable", true);
        r.urgency
            = readWord(f, "urgency", requestUrgencyWords, std::optional(workload_urgency::normal));
        r.timeLeftMs = f.number("time_left_ms", 1, 600000, std::nullopt);
        r.payload = f.bytes("payload", maxCallerBodyBytes);
        f.reportUnknownFields();
        if (!r.repeatable && id.empty())
            f.report("id",
                     "is missing; an unrepeatable request needs an identifier from "
                     "POST /v1/request-ids");
    });
}

std::string toBody(const caller_request &request)
{
    json object = {{"service", request.service.value},
                   {"team", request.team.value},
                   {"repeatable", request.repeatable},
                   {"urgency", toString(request.urgency)},
                   {"time_left_ms", request.timeLeftMs}};
    if (request.id)
        object["id"] = toString(*request.id);
    putBytes(object, "payload", request.payload);
    return dumpJson(object);
}

tl::expected<caller_outcome, findings> parseCallerOutcome(std::string_view body)
{
    return parseBody<caller_outcome>(body, [](json_fields &f, caller_outcome &o, findings &) {
        o.id = f.text("id", maxTextBytes, "");
        o.what = readWord(f, "outcome", outcomeWords, std::optional<caller_outcome::kind>());
        o.answer = f.bytes("answer", maxCallerBodyBytes);
        // A truncated outcome without its answer must not be taken for an empty answer.
        if (o.what == caller_outcome::kind::answered && !f.has("answer") && !f.has("answer_base64"))
            f.report("answer", "is missing");
        o.reason = f.text("reason", maxTextBytes, "");
        o.ask = f.text("ask", maxTextBytes, "");
    });
}

std::string toBody(const caller_outcome &outcome)
{
    json object = {{"id", outcome.id}, {"outcome", toString(outcome.what)}};
    if (outcome.what == caller_outcome::kind::answered)
        putBytes(object, "answer", outcome.answer);
    if (!outcome.reason.empty())
        object["reason"] = outcome.reason;
    if (!outcome.ask.empty())
        object["ask"] = outcome.ask;
    return dumpJson(object);
}

int statusOf(const caller_outcome &outcome)
{
    switch (outcome.what) {
    case caller_outcome::kind::pending:
    case caller_outcome::kind::answered:
        return 200;
    case caller_outcome::kind::not_run:
        return 503;
    case caller_outcome::kind::unknown:
        return 504;
    }
    return 500;
}

tl::expected<request_id, findings> parseCallerRequestId(std::string_view body)
{
    return parseBody<request_id>(body, [](json_fields &f, request_id &id, findings &) {
        const bool isPresent = f.has("id");
        std::optional<request_id> parsed = parseRequestId(f.text("id", maxTextBytes, std::nullopt));
        if (!parsed && isPresent)
            f.report("id", "is not a request identifier");
        id = std::move(parsed).value_or(request_id{});
    });
}

std::string toBody(const request_id &id)
{
    return dumpJson({{"id", toString(id)}});
}

tl::expected<caller_job, findings> parseCallerJob(std::string_view body)
{
    return parseBody<caller_job>(body, [](json_fields &f, caller_job &j, findings &) {
        j.id.team.value = f.name("team");
        j.id.name = f.name("name");
        j.kind = readWord(f, "kind", jobKindWords, std::optional<caller_job_kind>());
        j.urgency
            = readWord(f, "urgency", jobUrgencyWords, std::optional(caller_job_urgency::normal));
        j.size.milliCores = f.thousandths("cores", 1, 1024 * 1000);
        j.size.memoryMb = f.number("memory_mb", 1, 4 * 1024 * 1024, std::nullopt);
        j.size.accelerators = f.number("accelerators", 0, 64, 0);
        j.runMs = f.number("run_ms", 0, maxRunMs, 0);
        j.replicas = int(f.number("replicas", 1, maxReplicasOfJob, 1));
        j.payload = f.text("payload", maxJobPayloadBytes, "");
        if (j.replicas > 1 && j.kind != caller_job_kind::service)
            f.report("replicas", "must be 1 unless kind is \"service\"");
        f.reportUnknownFields();
    });
}

std::string toBody(const caller_job &job)
{
    const json object = {{"team", job.id.team.value},
                         {"name", job.id.name},
                         {"kind", toString(job.kind)},
                         {"urgency", toString(job.urgency)},
                         {"cores", double(job.size.milliCores) / 1000},
                         {"memory_mb", job.size.memoryMb},
                         {"accelerators", job.size.accelerators},
                         {"run_ms", job.runMs},
                         {"replicas", job.replicas},
                         {"payload", job.payload}};
    return dumpJson(object);
}

tl::expected<caller_job_view, findings> parseCallerJobView(std::string_view body)
{
    return parseBody<caller_job_view>(
        body,
        [](json_fields &f, caller_job_view &v, findings &found) { readJobView(f, "", v, found); });
}

std::string toBody(const caller_job_view &view)
{
    return dumpJson(toJson(view));
}

tl::expected<caller_job_list, findings> parseCallerJobList(std::string_view body)
{
    return parseBody<caller_job_list>(
        body, [](json_fields &f, caller_job_list &list, findings &found) {
            list.next = f.text("next", maxTextBytes, "");
            const json *jobs = f.array("jobs");
            for (std::size_t i = 0; jobs && i < jobs->size(); ++i) {
                const std::string place = fmt::format("jobs[{}]", i);
                if (!(*jobs)[i].is_object()) {
                    found.push_back({source_place{place}, "must be an object"});
                    continue;
                }
                json_fields fields((*jobs)[i], place + ".", found);
                readJobView(fields, place + ".", list.jobs.emplace_back(), found);
            }
        });
}

std::string toBody(const caller_job_list &list)
{
    std::string body = "{\"jobs\":[";
    std::string next = list.next;
    std::size_t written = 0;
    for (; written < list.jobs.size(); ++written) {
        const std::string job = dumpJson(toJson(list.jobs[written]));
        if (written == maxCallerListing
            || body.size() + job.size() + listingReserveBytes > maxCallerBodyBytes) {
            // The next page starts after the last job written. If the first job alone exceeds the
            // limit, the next page starts after that job; it can still be queried by itself.
            next = toString(list.jobs[written == 0 ? 0 : written - 1].id);
            break;
        }
        body += written == 0 ? "" : ",";
        body += job;
    }
    return body + "],\"next\":" + dumpJson(next) + "}";
}

caller_error parseCallerError(std::string_view body)
{
    findings found;
    const json object = parseJsonObject(body, maxCallerBodyBytes, maxCallerBodyDepth, found);
    if (!found.empty() || !object.contains("error") || !object["error"].is_string())
        return {std::string(body.substr(0, 500)), {}};
    caller_error error{object["error"].get<std::string>(), {}};
    const auto problems = object.find("findings");
    if (problems == object.end() || !problems->is_array())
        return error;
    for (const json &p : *problems) {
        findings ignored;
        if (!p.is_object())
            continue;
        json_fields fields(p, "", ignored);
        finding f;
        f.place.source = fields.text("field", maxTextBytes, "");
        f.place.line = int(fields.number("line", 0, INT32_MAX, 0));
        f.place.column = int(fields.number("column", 0, INT32_MAX, 0));
        f.message = fields.text("message", maxTextBytes, "");
        error.problems.push_back(std::move(f));
    }
    return error;
}

std::string toBody(const caller_error &error)
{
    json problems = json::array();
    for (const finding &f : error.problems) {
        json p = {{"field", f.place.source}, {"message", f.message}};
        if (f.place.line != 0) {
            p["line"] = f.place.line;
            p["column"] = f.place.column;
        }
        problems.push_back(std::move(p));
    }
    return dumpJson({{"error", error.message}, {"findings", std::move(problems)}});
}

} // namespace crocuswind
