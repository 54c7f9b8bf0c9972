// Guards against span lines and metrics that standard tools cannot parse, against a slow reader of
// spans that blocks the loop, and against an unbounded number of metric series.

#include "io/io.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace crocuswind;
using nlohmann::json;

namespace {

struct pipe_pair
{
    pipe_pair() { EXPECT_EQ(pipe2(ends, O_CLOEXEC | O_NONBLOCK), 0); }
    ~pipe_pair()
    {
        closeReader();
        close(ends[1]);
    }
    void closeReader()
    {
        if (ends[0] >= 0)
            close(ends[0]);
        ends[0] = -1;
    }
    void drainInto(std::string &text)
    {
        char bytes[65536];
        for (ssize_t n = 0; (n = read(ends[0], bytes, sizeof(bytes))) > 0;)
            text.append(bytes, std::size_t(n));
    }
    int ends[2] = {-1, -1};
};

finished_span exampleSpan()
{
    return {{1, 2, 3}, 4, "dispatch", 10, 20, true, {{"runner", "n1"}, {"bad", "\xff"}}};
}

} // namespace

TEST(SpanBodies, AreOtlpJson)
{
    const std::string line = toOtlpLine({"crocuswindd", "e1", {}}, exampleSpan());
    EXPECT_EQ(line.find('\n'), std::string::npos);
    const json span
        = json::parse(line).at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").at(0);
    EXPECT_EQ(span.at("traceId"), "00000000000000010000000000000002");
    EXPECT_EQ(span.at("spanId"), "0000000000000003");
    EXPECT_EQ(span.at("parentSpanId"), "0000000000000004");
    EXPECT_EQ(span.at("startTimeUnixNano"), "10000");
    EXPECT_EQ(span.at("endTimeUnixNano"), "20000");
    EXPECT_EQ(span.at("status").at("code"), 2);
    EXPECT_EQ(span.at("attributes").at(0).at("value").at("stringValue"), "n1");
}

TEST(SpanWriter, WritesWholeLinesToASlowReaderAndCountsDroppedSpans)
{
    event_loop loop;
    pipe_pair pipe;
    span_writer writer(loop, pipe.ends[1], {}, 512 * 1024);
    constexpr std::size_t count = 4000; // More than the buffer and the pipe hold together.
    for (std::size_t i = 0; i < count; ++i)
        writer.write(exampleSpan());
    EXPECT_GT(writer.dropped(), 0U);
    std::string text;
    const auto lines = [&] { return std::size_t(std::count(text.begin(), text.end(), '\n')); };
    EXPECT_TRUE(loop.runUntil(
        [&] {
            pipe.drainInto(text);
            return lines() + writer.dropped() == count;
        },
        20s));
    std::size_t begin = 0;
    for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
        ASSERT_FALSE(json::parse(text.substr(begin, end - begin), nullptr, false).is_discarded());
        begin = end + 1;
    }
}

TEST(SpanWriter, DropsSpansAfterTheReaderHasClosedThePipe)
{
    event_loop loop;
    pipe_pair pipe;
    span_writer writer(loop, pipe.ends[1], {});
    pipe.closeReader();
    writer.write(exampleSpan());
    EXPECT_TRUE(loop.runUntil([&] { return writer.dropped() == 1; }, 20s));
    writer.write(exampleSpan());
    EXPECT_EQ(writer.dropped(), 2U);
}

TEST(Metrics, TextIsInTheExpositionFormat)
{
    metrics_registry metrics;
    metrics.describe("requests_total", "Requests\nby outcome.");
    metrics.add("requests_total", {{"outcome", "answered"}, {"team", "a\"b\\c\n"}}, 2);
    metrics.add("requests_total", {{"outcome", "answered"}, {"team", "a\"b\\c\n"}});
    metrics.set("bad-name", {}, 1.5);
    metrics.observe("wait_seconds", {}, 1);
    metrics.observe("wait_seconds", {}, 3);
    EXPECT_EQ(metrics.text(),
              "# TYPE bad_name gauge\n"
              "bad_name 1.5\n"
              "# HELP requests_total Requests\\nby outcome.\n"
              "# TYPE requests_total counter\n"
              "requests_total{outcome=\"answered\",team=\"a\\\"b\\\\c\\n\"} 3\n"
              "# TYPE wait_seconds summary\n"
              "wait_seconds{quantile=\"0.5\"} 3\n"
              "wait_seconds{quantile=\"0.9\"} 3\n"
              "wait_seconds{quantile=\"0.99\"} 3\n"
              "wait_seconds{quantile=\"0.999\"} 3\n"
              "wait_seconds_sum 4\n"
              "wait_seconds_count 2\n");
}

TEST(Metrics, QuantilesAreCloseToTheTrueOnes)
{
    metrics_registry metrics;
    seeded_random random(1);
    for (int i = 0; i < 20000; ++i)
        metrics.observe("x", {}, random.fraction());
    const metric_series series = metrics.families().at(0).series.at(0);
    for (const auto &[quantile, value] : series.quantiles)
        EXPECT_NEAR(value, quantile, 0.02);
}

TEST(Metrics, SeriesAreBounded)
{
    metrics_registry metrics(10);
    for (int i = 0; i < 100; ++i)
        metrics.add("requests_total", {{"team", std::to_string(i)}});
    const auto families = metrics.families();
    ASSERT_EQ(families.at(0).series.size(), 11U);
    double total = 0;
    for (const metric_series &series : families[0].series)
        total += series.value;
    EXPECT_EQ(total, 100);
}
