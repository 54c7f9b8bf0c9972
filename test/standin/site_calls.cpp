#include "site_calls.h"

namespace crocuswind::standin {

using json = nlohmann::json;

std::string requestBody(const std::string &id, bool isRepeatable, const std::string &payload)
{
    json body
        = {{"service", "match"},         {"team", "yard"},
           {"repeatable", isRepeatable}, {"urgency", "urgent"},
           {"time_left_ms", 4000},       {"payload", (isRepeatable ? "" : "once-") + payload}};
    if (!id.empty())
        body["id"] = id;
    return body.dump();
}

std::string newRequestId(site &s, const std::string &host)
{
    const http_result result = s.call(host, "POST", "/v1/request-ids");
    const json answer = json::parse(result.body, nullptr, false);
    return answer.is_object() ? answer.value("id", "") : "";
}

std::string outcomeIn(const http_result &result)
{
    const json answer = json::parse(result.body, nullptr, false);
    return answer.is_object() ? answer.value("outcome", "") : "";
}

bool submitJob(site &s, const std::string &host, const std::string &name, int runMs)
{
    const json job = {{"team", "lab"}, {"name", name},     {"kind", "finite"},
                      {"cores", 1},    {"memory_mb", 100}, {"run_ms", runMs}};
    http_result last;
    const bool isAccepted = s.waitFor([&] {
        last = s.call(host, "POST", "/v1/jobs", job.dump());
        return last.status == 201 || last.status == 200;
    });
    if (!isAccepted)
        s.setFailure("the last submission was answered " + std::to_string(last.status) + " "
                     + last.body);
    return isAccepted;
}

std::string jobState(site &s, const std::string &host, const std::string &name)
{
    const json view = s.get(host, "/v1/jobs/lab/" + name);
    return view.is_object() ? view.value("state", "") : "";
}

int runsOf(site &s, std::size_t dataCentre, const std::string &id)
{
    return s.get(s.runners(dataCentre), "/stats?id=" + id).value("runs", -1);
}

std::string violationsIn(site &s, std::size_t dataCentre)
{
    const json workers = s.get(s.workers(dataCentre), "/stats");
    const json runners = s.get(s.runners(dataCentre), "/stats");
    std::string found;
    const auto expectZero = [&found](const json &object, const char *field) {
        if (object.value(field, -1) != 0)
            found += std::string(field) + " is " + object.value(field, json()).dump() + "; ";
    };
    expectZero(workers, "overcommitments");
    for (const char *field : {"replicas_run_concurrently", "replicas_done_twice",
                              "stale_attempts_started", "resumes_below_checkpoint"})
        expectZero(workers["all"], field);
    expectZero(runners["all"], "unrepeatable_run_more_than_once");
    for (const json &runner : runners["runners"]) {
        if (runner["highest_concurrent"] > runner["slots"])
            found += "a runner had more requests than slots; ";
    }
    return found;
}

} // namespace crocuswind::standin
