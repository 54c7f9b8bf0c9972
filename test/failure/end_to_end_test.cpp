// Guards against parts that work alone and not together: real processes on loopback serve requests
// and run jobs, and go on when processes are killed, paused or stopped.

#include "standin/site.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::standin;
using json = nlohmann::json;

namespace {

std::string requestBody(const std::string &id, bool repeatable, const std::string &payload)
{
    json body = {{"service", "match"},  {"team", "yard"},       {"repeatable", repeatable},
                 {"urgency", "urgent"}, {"time_left_ms", 4000}, {"payload", payload}};
    if (!id.empty())
        body["id"] = id;
    return body.dump();
}

std::string newId(site &s, const std::string &host)
{
    const json answer = json::parse(s.call(host, "POST", "/v1/request-ids").body, nullptr, false);
    return answer.value("id", "");
}

std::string jobBody(const std::string &name, int runMs)
{
    return json{{"team", "lab"}, {"name", name},     {"kind", "finite"},
                {"cores", 1},    {"memory_mb", 100}, {"run_ms", runMs}}
        .dump();
}

std::string jobState(site &s, const std::string &host, const std::string &name)
{
    const json view = s.get(host, "/v1/jobs/lab/" + name);
    return view.is_object() ? view.value("state", "") : "";
}

/// Submits a job until a host accepts it: while a shard changes hands, submissions are refused.
bool submitJob(site &s, const std::string &host, const std::string &name, int runMs)
{
    return s.waitFor([&] {
        const int status = s.call(host, "POST", "/v1/jobs", jobBody(name, runMs)).status;
        return status == 201 || status == 200;
    });
}

void expectNothingDoubled(site &s, std::size_t dataCentre)
{
    const json stats = s.get(s.workers(dataCentre), "/stats");
    EXPECT_EQ(stats["overcommitments"], 0) << stats.dump(2);
    EXPECT_EQ(stats["all"]["replicas_run_concurrently"], 0) << stats["all"].dump(2);
    EXPECT_EQ(stats["all"]["replicas_done_twice"], 0) << stats["all"].dump(2);
    EXPECT_EQ(stats["all"]["resumes_below_checkpoint"], 0) << stats["all"].dump(2);
}

} // namespace

TEST(EndToEnd, RequestIsAnsweredWholeThroughEveryHost)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    for (std::size_t i = 0; i < s.hostCount(); ++i) {
        const std::string payload = "payload-" + std::to_string(i);
        const http_result result
            = s.call(s.host(i).callers, "POST", "/v1/requests", requestBody("", true, payload));
        ASSERT_EQ(result.status, 200) << result.body;
        const json answer = json::parse(result.body);
        EXPECT_EQ(answer["outcome"], "answered");
        EXPECT_EQ(json::parse(answer["answer"].get<std::string>())["payload"], payload);
    }
}

TEST(EndToEnd, JobRunsAndItsOutcomeIsReadBackFromAnotherHost)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    ASSERT_TRUE(submitJob(s, s.host(0).callers, "certificate-1", 200));
    EXPECT_TRUE(s.waitFor([&] {
        return jobState(s, s.host(1).callers, "certificate-1") == "done";
    })) << s.call(s.host(1).callers, "GET", "/v1/jobs/lab/certificate-1").body
        << s.host(0).process->output() << s.host(1).process->output()
        << s.call(s.host(0).callers, "GET", "/metrics").body
        << s.call(s.host(1).callers, "GET", "/metrics").body;
    expectNothingDoubled(s, 0);
}
