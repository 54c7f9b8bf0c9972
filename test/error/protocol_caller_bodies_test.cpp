// Guards against caller bodies that lose content in formatting or parsing, malformed bodies that
// are accepted, truncated answers that are accepted as complete, and listings above the size limit.

#include "protocol/protocol.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

std::string requestFindings(const std::string &body)
{
    const auto request = parseCallerRequest(body);
    return request ? std::string() : toString(request.error());
}

std::string jobFindings(const std::string &body)
{
    const auto job = parseCallerJob(body);
    return job ? std::string() : toString(job.error());
}

caller_job_view exampleView(const std::string &name)
{
    caller_job_view v;
    v.id = job_id{team_id{"lab"}, name};
    v.kind = caller_job_kind::service;
    v.state = "running";
    v.explanation = "Runs on worker-3.";
    v.tasks = {{"claimed", 2, 1, "worker-3", 4, ""}, {"waiting", 0, 0, "", 0, "out of memory"}};
    return v;
}

} // namespace

TEST(CallerBodies, RoundTrip)
{
    caller_request r;
    r.id = request_id{host_id{"entry-1"}, 17, 4};
    r.service.value = "drift-check";
    r.team.value = "lab";
    r.repeatable = false;
    r.urgency = workload_urgency::urgent;
    r.timeLeftMs = 250;
    for (const std::string &payload : {std::string("{\"a\":1}"), std::string("\xff\x00\x01", 3),
                                       std::string(), std::string("gr\xc3\xbc\xc3\x9f")}) {
        r.payload = payload;
        EXPECT_EQ(parseCallerRequest(toBody(r)), r);
    }
    for (const caller_outcome &o :
         {caller_outcome{"a.1.2", caller_outcome::kind::answered, "\xfe\xff", "", ""},
          caller_outcome{"a.1.2", caller_outcome::kind::answered, "", "", ""},
          caller_outcome{"a.1.2", caller_outcome::kind::not_run, "", "queue_full", ""},
          caller_outcome{"a.1.2", caller_outcome::kind::unknown, "", "home_gone",
                         "/v1/requests/a.1.2"},
          caller_outcome{"a.1.2", caller_outcome::kind::pending, "", "", ""}})
        EXPECT_EQ(parseCallerOutcome(toBody(o)), o) << toBody(o);
    EXPECT_EQ(parseCallerRequestId(toBody(*r.id)), *r.id);

    caller_job j;
    j.id = job_id{team_id{"lab"}, "cert-7"};
    j.kind = caller_job_kind::service;
    j.urgency = caller_job_urgency::high;
    j.size = {1500, 2048, 1};
    j.runMs = 60000;
    j.replicas = 3;
    j.payload = "p";
    EXPECT_EQ(parseCallerJob(toBody(j)), j);

    const caller_job_list list{{exampleView("a"), exampleView("b")}, "lab/b"};
    EXPECT_EQ(parseCallerJobList(toBody(list)), list);
    EXPECT_EQ(parseCallerJobView(toBody(list.jobs[0])), list.jobs[0]);

    const caller_error error{"Correct the body.", {{source_place{"a.toml", 3, 4}, "is wrong"}}};
    EXPECT_EQ(parseCallerError(toBody(error)), error);
    EXPECT_EQ(parseCallerError("bad gateway").message, "bad gateway");
}

TEST(CallerBodies, RefusesMalformedRequestsWithAllFindings)
{
    const std::string good = R"("service":"s","team":"t","time_left_ms":5)";
    EXPECT_EQ(requestFindings("{" + good + "}"), "");
    const std::vector<std::pair<std::string, std::string>> table = {
        {"", "body: is not JSON in UTF-8\n"},
        {"[]", "body: must be a JSON object\n"},
        {"{" + good + R"(,"payload":"\xff"})", "body: is not JSON in UTF-8\n"},
        {"{\"payload\":" + std::string(16, '[') + std::string(16, ']') + "}",
         "body: nests deeper than 16 levels\n"},
        {R"({"service":"S","team":4,"time_left_ms":0})",
         "service: must be a name of 1 to 63 characters from a-z, 0-9, '-' and '.'\n"
         "team: must be a text, not number\ntime_left_ms: is 0 and must be from 1 to 600000\n"},
        {"{" + good + R"(,"urgncy":"urgent"})",
         "urgncy: is not a known field; did you mean 'urgency'?\n"},
        {"{" + good + R"(,"urgency":"batch"})", "urgency: must be one of \"urgent\", \"normal\"\n"},
        {"{" + good + R"(,"repeatable":false})",
         "id: is missing; an unrepeatable request needs an identifier from POST "
         "/v1/request-ids\n"},
        {"{" + good + R"(,"id":"7"})", "id: must be an identifier from POST /v1/request-ids\n"},
        {"{" + good + R"(,"payload":"a","payload_base64":"YQ=="})",
         "payload_base64: must not be given together with 'payload'\n"},
        {"{" + good + R"(,"payload_base64":"%%%"})",
         "payload_base64: must be base64 with padding\n"},
        {R"({"service":"s","team":"t","time_left_ms":18446744073709551615})",
         "time_left_ms: is 18446744073709551615 and must be from 1 to 600000\n"},
    };
    for (const auto &[body, expected] : table)
        EXPECT_EQ(requestFindings(body), expected) << body;
    EXPECT_NE(requestFindings(std::string(maxCallerBodyBytes + 1, ' ')), "");
}

TEST(CallerBodies, RefusesMalformedJobs)
{
    const std::string good = R"("team":"t","name":"n","kind":"finite","cores":0.5,"memory_mb":10)";
    EXPECT_EQ(jobFindings("{" + good + "}"), "");
    EXPECT_EQ(jobFindings("{" + good + R"(,"replicas":2})"),
              "replicas: must be 1 unless kind is \"service\"\n");
    EXPECT_EQ(jobFindings(R"({"team":"t","name":"n","kind":"cron","cores":1e30,"memory_mb":10})"),
              "kind: must be one of \"finite\", \"continuous\", \"service\"\n"
              "cores: is 1e+30 and must be from 0.001 to 1024\n");
    const std::string payload(16 * 1024 + 1, 'x');
    EXPECT_EQ(jobFindings("{" + good + ",\"payload\":\"" + payload + "\"}"),
              "payload: has 16385 bytes; the limit is 16384\n");
}

TEST(CallerBodies, AnsweredOutcomeNeedsItsAnswer)
{
    EXPECT_FALSE(parseCallerOutcome(R"({"id":"a.1.2","outcome":"answered"})"));
    EXPECT_FALSE(parseCallerOutcome(R"({"id":"a.1.2","outcome":"answered","answer":"ab)"));
    EXPECT_FALSE(parseCallerOutcome(R"({"id":"a.1.2"})"));
}

TEST(CallerBodies, ListingsStayWithinTheLimitAndContinue)
{
    caller_job_list list;
    for (int i = 100; i < 201; ++i) {
        list.jobs.push_back(exampleView(std::to_string(i)));
        list.jobs.back().tasks[0].result = std::string(20000, 'r');
    }
    const std::string body = toBody(list);
    EXPECT_LE(body.size(), maxCallerBodyBytes);
    const auto parsed = parseCallerJobList(body);
    ASSERT_TRUE(parsed);
    ASSERT_FALSE(parsed->jobs.empty());
    EXPECT_LT(parsed->jobs.size(), list.jobs.size());
    EXPECT_EQ(parsed->next, toString(parsed->jobs.back().id));
}
