// Guards against error messages that do not say what to do, exit statuses that confuse refused with
// unknown outcomes, and requests that must run at most once but are sent twice.

#include "io/io.h"
#include "protocol/protocol.h"
#include "standin/child_process.h"

#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace crocuswind;
using namespace crocuswind::standin;

namespace {

const std::string program = CROCUSWIND_BIN "/crocuswind";

struct run_result
{
    int status = -1;
    std::string output;
    std::string errors;
};

run_result run(const std::vector<std::string> &arguments,
               const std::vector<std::string> &environment = {})
{
    child_process p(program, arguments, environment);
    run_result r;
    r.status = p.wait();
    r.output = p.output();
    r.errors = p.errors();
    return r;
}

/// An entry host that gives a fixed answer for each known path and no answer for any other path.
class fixed_entry
{
public:
    explicit fixed_entry(std::map<std::string, http_response> answers)
        : m_answers(std::move(answers))
        , m_server(m_loop, {},
                   [this](const http_request &request, const http_responder &responder) {
                       ++m_calls[request.path];
                       const auto found = m_answers.find(request.path);
                       if (found != m_answers.end())
                           responder.answer(found->second);
                       else
                           m_held.push_back(responder);
                   })
        , m_address(toString(*m_server.listen({"127.0.0.1", 0})))
    { }

    run_result run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--entry", m_address});
        child_process p(program, arguments);
        m_loop.runUntil([&p] { return p.hasEnded(); }, 60s);
        run_result r;
        r.status = p.wait();
        r.output = p.output();
        r.errors = p.errors();
        return r;
    }

    int calls(const std::string &path) { return m_calls[path]; }

private:
    event_loop m_loop;
    std::map<std::string, http_response> m_answers;
    std::map<std::string, int> m_calls;
    std::vector<http_responder> m_held; ///< Requests that are never answered.
    http_server m_server;
    std::string m_address;
};

http_response response(int status, const std::string &body)
{
    http_response r;
    r.status = status;
    r.body = body;
    return r;
}

} // namespace

TEST(Commands, InvalidUsageGivesOneErrorThatSaysWhatToDo)
{
    struct row
    {
        std::vector<std::string> arguments;
        std::string text;
    };
    const std::vector<row> table = {
        {{}, "A subcommand is required"},
        {{"publsh"}, "unknown command 'publsh'; did you mean 'publish'?"},
        {{"status", "--entyr", "127.0.0.1:1"}, "unknown flag '--entyr'; did you mean '--entry'?"},
        {{"status"}, "--entry is required; give it as a flag or in CROCUSWIND_ENTRY"},
        {{"status", "--entry", "localhost:80"}, "give a numeric one as IP:PORT"},
        {{"submit", "cert", "--entry", "127.0.0.1:1", "--memory-mb", "1"}, "TEAM/NAME"},
        {{"submit", "lab/c", "--entry", "127.0.0.1:1", "--memory-mb", "0"},
         "memory_mb: is 0 and must be from 1"},
        {{"outcome", "7", "--entry", "127.0.0.1:1"}, "not a request identifier"},
        {{"check", "/nonexistent.toml"}, "cannot read '/nonexistent.toml'"},
        {{"load", "--entry", "127.0.0.1:1"}, "there is nothing to send"},
        {{"publish", CROCUSWIND_SOURCE, "--store", "127.0.0.1:1"}, "holds no *.toml file"},
    };
    for (const row &r : table) {
        const run_result result = run(r.arguments);
        EXPECT_EQ(result.status, 2) << result.errors;
        EXPECT_NE(result.errors.find(r.text), std::string::npos) << result.errors;
        EXPECT_EQ(result.output, "");
    }
    const run_result variable = run({"status"}, {"CROCUSWIND_ENTRY=here"});
    EXPECT_EQ(variable.status, 2);
    EXPECT_NE(variable.errors.find("'here' is not an address"), std::string::npos);
}

TEST(Commands, UnreachableHostsAreFailuresWithoutEffect)
{
    // No process listens on port 1 of the loopback addresses.
    const run_result request
        = run({"request", "s", "--team", "t", "--entry", "127.0.0.1:1,127.0.0.2:1"});
    EXPECT_EQ(request.status, 1);
    EXPECT_NE(request.errors.find("Nothing was sent"), std::string::npos);
    const run_result history = run({"history", "--store", "127.0.0.1:1", "--timeout-ms", "300"});
    EXPECT_EQ(history.status, 1);
    EXPECT_NE(history.errors.find("check --store"), std::string::npos);
}

TEST(Commands, OutcomesHaveTheirOwnExitStatuses)
{
    struct row
    {
        http_response answer;
        int status;
        std::string output;
    };
    const std::vector<row> table = {
        {response(200, R"({"id":"a.1.2","outcome":"answered","answer":"42"})"), 0, "42\n"},
        {response(503, R"({"id":"a.1.2","outcome":"not_run","reason":"queue_full"})"), 3, ""},
        {response(504, R"({"id":"a.1.2","outcome":"unknown","reason":"home_gone"})"), 4, ""},
        {response(400, R"({"error":"no","findings":[]})"), 1, ""},
        // A truncated answer must not be accepted as an outcome.
        {response(200, R"({"id":"a.1.2","outcome":"answered","ans)"), 1, ""},
    };
    for (const row &r : table) {
        fixed_entry entry({{"/v1/requests", r.answer}});
        const run_result result = entry.run({"request", "s", "--team", "t"});
        EXPECT_EQ(result.status, r.status) << result.errors;
        EXPECT_EQ(result.output, r.output);
        EXPECT_EQ(entry.calls("/v1/requests"), 1);
    }
}

TEST(Commands, UnrepeatableRequestIsSentOnceAndItsOutcomeQueried)
{
    fixed_entry entry(
        {{"/v1/request-ids", response(200, R"({"id":"a.1.2"})")},
         {"/v1/requests/a.1.2",
          response(200, R"({"id":"a.1.2","outcome":"answered","answer":"issued"})")}});
    const run_result result
        = entry.run({"request", "s", "--team", "t", "--unrepeatable", "--time-left-ms", "50"});
    EXPECT_EQ(result.status, 0) << result.errors;
    EXPECT_EQ(result.output, "issued\n");
    EXPECT_EQ(entry.calls("/v1/request-ids"), 1);
    EXPECT_EQ(entry.calls("/v1/requests"), 1);

    // Without an identifier the request was not sent, so it definitely did not run.
    fixed_entry silent({});
    EXPECT_EQ(
        silent.run({"request", "s", "--team", "t", "--unrepeatable", "--timeout-ms", "300"}).status,
        3);
    EXPECT_EQ(silent.calls("/v1/requests"), 0);
}

TEST(Commands, JobAnswersHaveTheirOwnExitStatuses)
{
    const std::string view = R"({"job":"t/n","state":"waiting","tasks":[]})";
    const std::string error = R"({"error":"reason","findings":[]})";
    for (const auto &[status, expected] :
         std::map<int, int>{{201, 0}, {200, 0}, {400, 2}, {409, 3}, {422, 3}, {503, 3}, {504, 4}}) {
        fixed_entry entry({{"/v1/jobs", response(status, status < 300 ? view : error)}});
        const run_result result = entry.run({"submit", "t/n", "--memory-mb", "10"});
        EXPECT_EQ(result.status, expected) << status << result.errors;
    }
    fixed_entry failed(
        {{"/v1/jobs/t/n", response(200, R"({"job":"t/n","state":"failed","tasks":[]})")}});
    EXPECT_EQ(failed.run({"job", "t/n", "--wait"}).status, 1);
    EXPECT_EQ(failed.run({"job", "t/n"}).status, 0);
}

TEST(Commands, LoadAccountsForEveryRequest)
{
    fixed_entry entry(
        {{"/v1/requests", response(200, R"({"id":"a.1.2","outcome":"answered","answer":"no"})")},
         {"/v1/request-ids", response(503, R"({"error":"draining"})")},
         {"/v1/jobs", response(422, R"({"error":"never fits"})")}});
    const run_result result
        = entry.run({"load", "--requests-per-second", "400", "--jobs-per-second", "50",
                     "--unrepeatable-percent", "30", "--urgent-percent", "60", "--duration-ms",
                     "500", "--check-answers", "--json", "--quiet"});
    ASSERT_EQ(result.status, 0) << result.errors;
    const nlohmann::json report = nlohmann::json::parse(result.output);
    std::int64_t sent = 0;
    for (const char *name : {"urgent", "normal"}) {
        const nlohmann::json &counts = report[name];
        sent += counts["sent"].get<std::int64_t>();
        EXPECT_GT(counts["answered"], 0);
        EXPECT_EQ(counts["sent"].get<std::int64_t>(),
                  counts["answered"].get<std::int64_t>()
                      + counts["not_run"]["no_identifier"].get<std::int64_t>());
        // The fixed answer does not contain the request's payload.
        EXPECT_EQ(counts["wrong_answers"], counts["answered"]);
    }
    EXPECT_EQ(sent, entry.calls("/v1/requests") + entry.calls("/v1/request-ids"));
    EXPECT_GT(report["jobs"]["submitted"], 0);
    EXPECT_EQ(report["jobs"]["not_accepted"]["422"], report["jobs"]["submitted"]);
    EXPECT_EQ(report["jobs"]["listed"], false);
}
