#include "job_bodies.h"

#include <nlohmann/json.hpp>

namespace crocuswind {

namespace {

using json = nlohmann::json;

caller_job_kind toCallerKind(job_kind kind)
{
    switch (kind) {
    case job_kind::finite:
        return caller_job_kind::finite;
    case job_kind::continuous:
        return caller_job_kind::continuous;
    case job_kind::service:
        break;
    }
    return caller_job_kind::service;
}

caller_job toCallerJob(const job_spec &spec)
{
    caller_job job;
    job.id = spec.id;
    job.kind = toCallerKind(spec.kind);
    job.urgency = *parseCallerJobUrgency(toString(spec.urgency));
    job.size = {spec.size.milliCores, spec.size.memoryMb, spec.size.accelerators};
    job.runMs = spec.runMs;
    job.replicas = spec.replicas;
    job.payload = spec.payload;
    return job;
}

int statusOf(job_outcome outcome)
{
    switch (outcome) {
    case job_outcome::accepted:
        return 201;
    case job_outcome::exists:
    case job_outcome::found:
    case job_outcome::cancelled:
        return 200;
    case job_outcome::conflict:
        return 409;
    case job_outcome::never_fits:
        return 422;
    case job_outcome::invalid:
        return 400;
    case job_outcome::not_found:
        return 404;
    case job_outcome::unknown:
        return 504;
    case job_outcome::not_accepted:
    case job_outcome::not_owner:
        break;
    }
    return 503;
}

std::optional<job_id> jobField(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_string())
        return std::nullopt;
    return parseJobId(field->get_ref<const std::string &>());
}

std::optional<job_call> decodeSubmit(const json &object)
{
    const auto job = object.find("job");
    const auto trace = object.find("traceparent");
    if (job == object.end() || !job->is_string() || trace == object.end() || !trace->is_string())
        return std::nullopt;
    const auto parsed = parseCallerJob(job->get_ref<const std::string &>());
    const auto context = parseTraceparent(trace->get_ref<const std::string &>());
    if (!parsed || !context)
        return std::nullopt;
    return submit_job{toJobSpec(*parsed), *context};
}

std::optional<job_call> decodeList(const json &object)
{
    list_jobs call;
    const auto team = object.find("team");
    if (team != object.end() && team->is_string())
        call.team = team_id{team->get<std::string>()};
    call.after = jobField(object, "after");
    const auto limit = object.find("limit");
    if (limit != object.end() && limit->is_number_unsigned())
        call.limit = std::min<std::size_t>(limit->get<std::size_t>(), maxCallerListing);
    return call;
}

json toJson(const submit_job &call)
{
    return {{"call", "submit"},
            {"job", toBody(toCallerJob(call.spec))},
            {"traceparent", toTraceparent(call.trace)}};
}

json toJson(const query_job &call)
{
    return {{"call", "query"}, {"job", toString(call.job)}};
}

json toJson(const cancel_job &call)
{
    return {{"call", "cancel"}, {"job", toString(call.job)}};
}

json toJson(const list_jobs &call)
{
    json object = {{"call", "list"}, {"limit", call.limit}};
    if (call.team)
        object["team"] = call.team->value;
    if (call.after)
        object["after"] = toString(*call.after);
    return object;
}

} // namespace

job_spec toJobSpec(const caller_job &job)
{
    job_spec spec;
    spec.id = job.id;
    spec.kind = *parseJobKind(toString(job.kind));
    spec.urgency = *parseJobUrgency(toString(job.urgency));
    spec.size = {job.size.milliCores, job.size.memoryMb, job.size.accelerators};
    spec.runMs = job.runMs;
    spec.replicas = job.replicas;
    spec.payload = job.payload;
    return spec;
}

caller_job_view toCallerView(const job_view &view)
{
    caller_job_view result;
    result.id = view.record.spec.id;
    result.kind = toCallerKind(view.record.spec.kind);
    result.state = toString(view.state);
    result.explanation = view.explanation;
    for (const task_record &task : view.record.tasks) {
        caller_task shown;
        shown.state = toString(task.state);
        shown.attempts = task.attempt;
        shown.failures = task.failures;
        shown.worker = task.worker.value;
        shown.checkpoint = task.lastCheckpoint.number;
        shown.result = task.result;
        result.tasks.push_back(shown);
    }
    return result;
}

job_answer_body toAnswer(const job_call &call, const job_reply &reply)
{
    job_answer_body answer;
    answer.status = statusOf(reply.outcome);
    if (answer.status >= 300) {
        answer.body = toBody(caller_error{reply.reason, reply.problems});
    } else if (std::holds_alternative<list_jobs>(call)) {
        caller_job_list list;
        for (const job_view &view : reply.jobs)
            list.jobs.push_back(toCallerView(view));
        answer.body = toBody(list);
    } else if (!reply.jobs.empty()) {
        answer.body = toBody(toCallerView(reply.jobs.front()));
    } else {
        answer.body = "{}";
    }
    return answer;
}

std::string encodeJobCall(const job_call &call)
{
    return std::visit([](const auto &c) { return toJson(c).dump(); }, call);
}

std::optional<job_call> decodeJobCall(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const auto kind = object.find("call");
    if (kind == object.end() || !kind->is_string())
        return std::nullopt;
    if (*kind == "submit")
        return decodeSubmit(object);
    if (*kind == "list")
        return decodeList(object);
    const auto job = jobField(object, "job");
    if (!job)
        return std::nullopt;
    if (*kind == "query")
        return query_job{*job};
    if (*kind == "cancel")
        return cancel_job{*job};
    return std::nullopt;
}

std::string encodeJobAnswer(const job_answer_body &answer)
{
    return json{{"status", answer.status}, {"body", answer.body}}.dump();
}

std::optional<job_answer_body> decodeJobAnswer(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const auto status = object.find("status");
    const auto body = object.find("body");
    if (status == object.end() || !status->is_number_integer() || body == object.end()
        || !body->is_string())
        return std::nullopt;
    return job_answer_body{status->get<int>(), body->get<std::string>()};
}

} // namespace crocuswind
