// Guards against mistakes in workload files that are accepted, reported at the wrong position, or
// reported one at a time, and against valid files that are refused or parsed wrongly.

#include "protocol/protocol.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

const char *const goodText = R"([team.lab]
cores = 64
memory_mb = 262144
urgent_weight = 3

[service.drift-check]
team = "lab"
urgency = "urgent"
cores = 0.5
memory_mb = 1024
replicas = 4
deadline_ms = 200
expected_ms = 20
max_neighbour_slowdown_percent = 10

[service.certificate-issue]
team = "lab"
urgency = "normal"
repeatable = false
cores = 1
memory_mb = 512

[job.certificate-build]
team = "lab"
kind = "finite"
cores = 2
memory_mb = 4096
run_ms = 600000
attempts = 3
)";

/// Parses one file and returns its findings, one per line.
std::string findingsOf(const std::string &text)
{
    const auto set = parseWorkloadFiles({{"a.toml", text}});
    return set ? std::string() : toString(set.error());
}

const std::string team = "[team.lab]\ncores = 8\nmemory_mb = 1000\n";

} // namespace

TEST(WorkloadFile, ParsesEveryKey)
{
    const auto set = parseWorkloadFiles({{"a.toml", goodText}});
    ASSERT_TRUE(set) << toString(set.error());
    ASSERT_EQ(set->teams.size(), 1u);
    EXPECT_EQ(set->teams[0].quota, (workload_size{64000, 262144, 0}));
    EXPECT_EQ(set->teams[0].urgentWeight, 3);
    ASSERT_EQ(set->services.size(), 2u);
    const workload_service &issue = set->services[0];
    EXPECT_FALSE(issue.common.repeatable);
    EXPECT_EQ(issue.common.attempts, 1);
    const workload_service &drift = set->services[1];
    EXPECT_EQ(drift.common.name, "drift-check");
    EXPECT_EQ(drift.common.urgency, workload_urgency::urgent);
    EXPECT_EQ(drift.common.size, (workload_size{500, 1024, 0}));
    EXPECT_EQ(drift.common.replicas, 4);
    EXPECT_EQ(drift.common.attempts, 2);
    EXPECT_EQ(drift.common.deadlineMs, 200);
    EXPECT_EQ(drift.expectedMs, 20);
    EXPECT_EQ(drift.common.maxNeighbourSlowdownPercent, 10);
    EXPECT_EQ(drift.place, (source_place{"a.toml", 6, 1}));
    ASSERT_EQ(set->jobs.size(), 1u);
    EXPECT_EQ(set->jobs[0].kind, workload_job_kind::finite);
    EXPECT_EQ(set->jobs[0].runMs, 600000);
    EXPECT_EQ(set->jobs[0].common.urgency, workload_urgency::batch);
}

TEST(WorkloadFile, ReportsEachMistakeAtItsPlace)
{
    const std::string service = team + "[service.s]\nteam = \"lab\"\nurgency = \"normal\"\n"
        + "cores = 1\nmemory_mb = 100\n";
    const std::string job
        = team + "[job.j]\nteam = \"lab\"\ncores = 1\nmemory_mb = 100\nkind = \"finite\"\n";
    const std::vector<std::pair<std::string, std::string>> table = {
        {"[team.lab]\ncores = 8\nmemory_mb = 10\nurgent_wieght = 2\n",
         "a.toml:4:1: [team.lab]: unknown key 'urgent_wieght'; did you mean 'urgent_weight'?\n"},
        {"[team.lab]\ncores = 8\n", "a.toml:1:1: [team.lab]: 'memory_mb' is missing\n"},
        {"[team.lab]\ncores = 0\nmemory_mb = 10\n",
         "a.toml:2:9: [team.lab]: 'cores' is 0 and must be from 0.001 to 1000000\n"},
        {"[team.lab]\ncores = nan\nmemory_mb = 10\n",
         "a.toml:2:9: [team.lab]: 'cores' is nan and must be from 0.001 to 1000000\n"},
        {"[team.lab]\ncores = 8\nmemory_mb = 1.5\n",
         "a.toml:3:13: [team.lab]: 'memory_mb' must be a whole number, not a number with a "
         "fraction\n"},
        {"[team.Lab]\n",
         "a.toml:1:7: [team.Lab]: a name has 1 to 63 characters from a-z, 0-9, "
         "'-' and '.'\n"},
        {"[services.s]\n", "a.toml:1:2: unknown section 'services'; did you mean 'service'?\n"},
        {"team = 1\n", "a.toml:1:1: 'team' must be a section [team.NAME]\n"},
        {"[team]\nlab = 1\n", "a.toml:2:1: 'lab' must stand in a section [team.NAME]\n"},
        {service + "replicas = 0\n",
         "a.toml:9:12: [service.s]: 'replicas' is 0 and must be from 1 to 256\n"},
        {service + "replicas = 9\n",
         "a.toml:1:1: [team.lab]: the team's services are above its quota: 9 cores of 8\n"},
        {service + "repeatable = false\nattempts = 2\n",
         "a.toml:10:12: [service.s]: 'attempts' must be 1 for work with repeatable = false\n"},
        {service + "repeatable = \"no\"\n",
         "a.toml:9:14: [service.s]: 'repeatable' must be true or false, not a text\n"},
        {service + "deadline_ms = 5\nexpected_ms = 6\n",
         "a.toml:10:15: [service.s]: 'expected_ms' is 6 and above 'deadline_ms' (5)\n"},
        {job,
         "a.toml:4:1: [job.j]: 'run_ms' is missing; finite jobs give their expected run "
         "time\n"},
        {job + "run_ms = 1\naccelerators = 1\n",
         "a.toml:4:1: [job.j]: the job is above the quota of team 'lab': 1 accelerators of 0\n"},
        {team + "[service.s]\nteam = \"lab\"\nurgency = \"urgent\"\ncores = 1\nmemory_mb = 1\n",
         "a.toml:4:1: [service.s]: 'deadline_ms' is missing; urgent services need a deadline\n"},
        {team + "[service.s]\nteam = \"lab\"\nurgency = \"high\"\ncores = 1\nmemory_mb = 1\n",
         "a.toml:6:11: [service.s]: 'urgency' must be one of \"urgent\", \"normal\"\n"},
        {team + "[service.s]\nteam = \"lap\"\nurgency = \"normal\"\ncores = 1\nmemory_mb = 1\n",
         "a.toml:4:1: [service.s]: no file declares the team 'lap'; did you mean 'lab'?\n"},
        {team + "[job.j]\nteam = \"lab\"\ncores = 1\nmemory_mb = 1\nkind = \"continuous\"\n"
             + "run_ms = 5\n",
         "a.toml:9:10: [job.j]: 'run_ms' does not apply to kind = \"continuous\"\n"},
    };
    for (const auto &[text, expected] : table)
        EXPECT_EQ(findingsOf(text), expected) << text;
}

TEST(WorkloadFile, ReportsSyntaxErrorsWithLineAndColumn)
{
    const auto set = parseWorkloadFiles({{"a.toml", "[team.lab]\ncores = = 8\n"}});
    ASSERT_FALSE(set);
    ASSERT_EQ(set.error().size(), 1u);
    EXPECT_EQ(set.error()[0].place.line, 2);
    EXPECT_EQ(set.error()[0].place.column, 9);
}

TEST(WorkloadFile, ReportsSectionNamesThatFailParserAssertions)
{
    // An unmodified toml++ 3.3.0 aborts the process for these.
    EXPECT_EQ(findingsOf("[team.lab]\ncores = 8\n  [.a]\n"),
              "a.toml:3:4: cannot read this as TOML: a section's name begins with a letter, a "
              "digit, '_', '-' or a quotation mark\n");
    EXPECT_EQ(findingsOf("[\n").substr(0, 11), "a.toml:1:2:");
    EXPECT_NE(findingsOf("[[ =]]\n"), "");
    EXPECT_NE(findingsOf("[\x01]"), "");
}

TEST(WorkloadFile, ReportsMistakesOfAllFilesTogether)
{
    const auto set = parseWorkloadFiles(
        {{"a.toml", "[team.lab]\ncores = 8\nmemory_mb = 0\n"},
         {"b.toml",
          "[service.s]\nteam = \"lab\"\nurgency = \"normal\"\ncores = 1\nmemory_mb = 1\n"
          "size = 3\n[job.j]\nteam = \"market\"\nkind = \"continuous\"\ncores = 1\n"
          "memory_mb = 1\n"},
         {"c.toml", "[team.lab]\ncores = 8\nmemory_mb = 1\n"}});
    ASSERT_FALSE(set);
    EXPECT_EQ(toString(set.error()),
              "a.toml:3:13: [team.lab]: 'memory_mb' is 0 and must be from 1 to 4294967296\n"
              "b.toml:6:1: [service.s]: unknown key 'size'\n"
              "c.toml:1:1: [team.lab] is already declared at a.toml:1\n"
              "b.toml:7:1: [job.j]: no file declares the team 'market'\n");
}

TEST(WorkloadFile, LimitsFilesAndSets)
{
    const std::string large(maxWorkloadFileBytes + 1, '\n');
    EXPECT_NE(findingsOf(large).find("the limit is 262144"), std::string::npos);
    const std::string allowed(maxWorkloadFileBytes, '\n');
    EXPECT_EQ(findingsOf(allowed), "");
    const auto three
        = parseWorkloadFiles({{"a.toml", allowed}, {"b.toml", allowed}, {"c.toml", allowed}});
    ASSERT_FALSE(three);
    EXPECT_NE(toString(three.error()).find("the limit is 700000"), std::string::npos);
    std::vector<workload_source> many;
    for (std::size_t i = 0; i <= maxWorkloadFiles; ++i)
        many.push_back({std::to_string(i), ""});
    EXPECT_FALSE(parseWorkloadFiles(many));
    EXPECT_FALSE(parseWorkloadFiles({{"a.toml", ""}, {"a.toml", ""}}));
}
