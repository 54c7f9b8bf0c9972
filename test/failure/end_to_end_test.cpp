// Guards against components that pass their own tests but do not work together: real processes on
// loopback serve requests and run jobs, without injected faults.

#include "standin/site_calls.h"

#include <gtest/gtest.h>

using namespace crocuswind;
using namespace crocuswind::standin;
using json = nlohmann::json;

TEST(EndToEnd, RequestIsAnsweredThroughEveryHost)
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
    EXPECT_EQ(violationsIn(s, 0), "");
}

TEST(EndToEnd, UnrepeatableRequestRunsOnceWhenItIsSentAgain)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    const std::string id = newRequestId(s, s.host(0).callers);
    const std::string body = requestBody(id, false, "sale");
    const http_result first = s.call(s.host(1).callers, "POST", "/v1/requests", body);
    ASSERT_EQ(first.status, 200) << first.body;
    for (std::size_t host : {0, 1, 0}) {
        const http_result again = s.call(s.host(host).callers, "POST", "/v1/requests", body);
        EXPECT_EQ(again.body, first.body);
    }
    const http_result asked = s.call(s.host(1).callers, "GET", "/v1/requests/" + id);
    EXPECT_EQ(asked.body, first.body);
    EXPECT_EQ(runsOf(s, 0, id), 1);
}

TEST(EndToEnd, UnrepeatableRequestWithoutIdentifierIsNotRun)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    const http_result result
        = s.call(s.host(0).callers, "POST", "/v1/requests", requestBody("", false, "sale"));
    EXPECT_TRUE(result.status == 400 || outcomeIn(result) == "not_run") << result.body;
    EXPECT_EQ(s.get(s.runners(0), "/stats")["all"]["requests"], 0);
}

TEST(EndToEnd, RequestSpillsToAnotherDataCentreWhoseRunnersAreAlive)
{
    site_settings settings;
    settings.dataCentres = {{"dakar-1", 1, 1, 1}, {"dakar-2", 1, 2, 1}};
    site s(settings);
    ASSERT_TRUE(s.start()) << s.failure();
    s.control(s.runners(0), {{"leaving", true}});
    ASSERT_TRUE(s.publishHosts());
    EXPECT_TRUE(s.waitFor([&] {
        const http_result result
            = s.call(s.host(0).callers, "POST", "/v1/requests", requestBody("", true, "far"));
        return result.body.find("dakar-2-runner") != std::string::npos;
    }));
}

TEST(EndToEnd, JobRunsAndItsStateIsReadFromAnotherHost)
{
    site s({});
    ASSERT_TRUE(s.start()) << s.failure();
    ASSERT_TRUE(submitJob(s, s.host(0).callers, "certificate-1", 200));
    EXPECT_TRUE(
        s.waitFor([&] { return jobState(s, s.host(1).callers, "certificate-1") == "done"; }));
    EXPECT_EQ(violationsIn(s, 0), "");
}
