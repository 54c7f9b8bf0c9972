// Guards against a load generator whose arrivals differ between runs of one seed or depend on the
// answers, percentiles that are too low, and reports that miss lost, duplicated or evicted jobs.

// The sources are included because the command line is built as a program, not as a library.
#include "crocuswind/load_plan.cpp"
#include "crocuswind/load_report.cpp"
#include "crocuswind/text_difference.cpp"

#include <gtest/gtest.h>
#include <numeric>

using namespace crocuswind;

namespace {

std::vector<planned_arrival> arrivalsOf(const load_mix &mix)
{
    std::vector<planned_arrival> arrivals;
    load_plan plan(mix);
    while (const auto arrival = plan.next())
        arrivals.push_back(*arrival);
    return arrivals;
}

caller_job_view viewOf(const std::string &name, const std::string &state, const caller_task &task)
{
    return {job_id{team_id{"lab"}, name}, caller_job_kind::finite, state, "", {task}};
}

} // namespace

TEST(LoadPlan, IsDeterministicForASeedAndFollowsTheMix)
{
    load_mix mix;
    mix.requestsPerSecond = 1000;
    mix.jobsPerSecond = 100;
    mix.urgentPercent = 25;
    mix.unrepeatablePercent = 50;
    mix.services = {"a", "b"};
    const auto arrivals = arrivalsOf(mix);
    const auto again = arrivalsOf(mix);
    ASSERT_EQ(arrivals.size(), again.size());
    std::int64_t requests = 0;
    std::int64_t urgent = 0;
    std::int64_t repeatable = 0;
    std::int64_t toA = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        ASSERT_EQ(arrivals[i].at, again[i].at);
        ASSERT_TRUE(i == 0 || arrivals[i - 1].at <= arrivals[i].at);
        if (const auto *r = std::get_if<planned_request>(&arrivals[i].what)) {
            ++requests;
            urgent += r->isUrgent ? 1 : 0;
            repeatable += r->isRepeatable ? 1 : 0;
            toA += r->service == "a" ? 1 : 0;
        }
    }
    // 10 s of Poisson arrivals; the bounds are five standard deviations wide.
    EXPECT_NEAR(double(requests), 10000, 500);
    EXPECT_NEAR(double(arrivals.size()) - double(requests), 1000, 160);
    EXPECT_NEAR(double(urgent) / double(requests), 0.25, 0.025);
    EXPECT_NEAR(double(repeatable) / double(requests), 0.5, 0.025);
    EXPECT_NEAR(double(toA) / double(requests), 0.5, 0.025);
    mix.seed = 2;
    EXPECT_NE(arrivalsOf(mix).front().at, arrivals.front().at);
}

TEST(LoadReport, PercentilesAreObservedValues)
{
    std::vector<std::int64_t> latencies(1000);
    std::iota(latencies.begin(), latencies.end(), 1);
    EXPECT_EQ(percentile(latencies, 500), 500);
    EXPECT_EQ(percentile(latencies, 990), 990);
    EXPECT_EQ(percentile(latencies, 999), 999);
    EXPECT_EQ(percentile(latencies, 1000), 1000);
    // With few values, high percentiles are the largest value and are not interpolated below it.
    EXPECT_EQ(percentile({1, 2, 9}, 990), 9);
    EXPECT_EQ(percentile({}, 990), 0);
}

TEST(LoadReport, CountsEvictionsFailuresLostAndDuplicatedJobs)
{
    const std::vector<caller_job_view> first = {
        viewOf("a", "done", {"done", 3, 1, "w1", 2, "ok"}),
        viewOf("b", "running", {"claimed", 2, 0, "w1", 0, ""}),
        viewOf("c", "failed", {"failed", 3, 3, "", 0, "reason"}),
        viewOf("d", "waiting", {"waiting", 2, 0, "", 0, ""}),
        viewOf("other", "done", {"done", 5, 0, "w1", 0, ""}),
    };
    // The second listing comes from another data centre, which also claims to own job b.
    const std::vector<caller_job_view> second
        = {viewOf("b", "running", {"claimed", 2, 0, "w7", 0, ""}), first[0]};
    std::vector<job_id> accepted;
    for (const char *name : {"a", "b", "c", "d", "e"})
        accepted.push_back({team_id{"lab"}, name});
    load_job_counts counts;
    countListings({first, second}, accepted, counts);
    EXPECT_EQ(counts.evictions, 1 + 1 + 0 + 2);
    EXPECT_EQ(counts.failures, 1 + 3);
    EXPECT_EQ(counts.duplicated, 1);
    EXPECT_EQ(counts.lost, 1);
    EXPECT_EQ(counts.states.at("done"), 1);
}

TEST(TextDifference, ListsOnlyDifferingLines)
{
    EXPECT_EQ(textDifference("a\nb\nc\n", "a\nb\nc\n"), "");
    EXPECT_EQ(textDifference("a\nb\nc\n", "a\nx\nc\n"), "-    2 b\n+    2 x\n");
    EXPECT_EQ(textDifference("", "a\n"), "+    1 a\n");
    EXPECT_EQ(textDifference("a\nb\nc\nd\n", "b\nc\nx\nd\n"), "-    1 a\n+    3 x\n");
    std::string longText;
    for (int i = 0; i < 3000; ++i)
        longText += std::to_string(i) + "\n";
    // The first and last lines differ, so the table would exceed its limit.
    const std::string text = textDifference("x\n" + longText + "y\n", "z\n" + longText + "w\n");
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 2 * 3002);
}
