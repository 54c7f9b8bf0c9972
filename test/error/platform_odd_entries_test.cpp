// Guards against a malformed entry of another program, or an out-of-range number in any body, that
// crashes the process, exhausts its memory or hides other entries.

#include "platform/wire_bodies.h"
#include "protocol/protocol.h"
#include "standin/allocation_counter.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace crocuswind;
using namespace crocuswind::platform;
using namespace crocuswind::scheduler;
using nlohmann::json;

namespace {

/// Every byte of a large store value opens a level. A recursive parser overflows its stack.
constexpr std::size_t nestingDepth = 1'000'000;

/// A parsed level takes tens of bytes, so parsing a body of a million levels would take far more
/// than this.
constexpr std::size_t maxAllocatedBytes = 64 * 1024;

const std::vector<const char *> outsideInt64 = {"1e400",
                                                "1e300",
                                                "-1e300",
                                                "9223372036854775808",
                                                "18446744073709551615",
                                                "-9223372036854775809",
                                                "99999999999999999999999999"};

/// The last number fits into 64 bits, but the sum of a few such numbers does not.
const std::vector<const char *> outOfRange = [] {
    std::vector<const char *> numbers = outsideInt64;
    numbers.push_back("4611686018427387904");
    return numbers;
}();

std::string repeat(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i)
        all += text;
    return all;
}

json validEntry()
{
    return {{"service", "pool"},    {"address", "10.0.0.9:8080"},
            {"zone", "a"},          {"version", "v1"},
            {"slots", 8},           {"state", "ready"},
            {"coldLeftMs", 0},      {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 1}}},
            {"labels", {"a", "r"}}, {"clockMs", 482113},
            {"born", 17},           {"seq", 4}};
}

// Returns the valid entry with one field's value replaced by \p text. `a/b` is field `b` of the
// object in field `a`.
std::string entryWith(const std::string &field, const std::string &text)
{
    json entry = validEntry();
    entry[json::json_pointer("/" + field)] = "PLACE";
    std::string body = entry.dump();
    return body.replace(body.find("\"PLACE\""), 7, text);
}

// Returns a job whose step, or for `job.NAME` the job itself, has the field with value \p text.
std::string jobWith(const std::string &field, const std::string &text)
{
    const std::string step = field.rfind("job.", 0) == 0
        ? R"({"count":1,"cpu":1}],")" + field.substr(4) + "\":" + text
        : fmt::format(R"({{"cpu":1,{}"{}":{}}}])", field == "count" ? "" : "\"count\":1,", field,
                      text);
    return R"({"spec":"x","steps":[)" + step + "}";
}

bool isRefused(const std::string &body)
{
    const auto spec = parseJobBody(body, {"0123456789abcdef"}, {"queue"});
    return !spec && !spec.error().empty();
}

} // namespace

TEST(MalformedBody, DeepNestingIsRejectedWithLittleMemory)
{
    const std::string deepBodies[]
        = {repeat("[", nestingDepth), repeat("{\"a\":", nestingDepth / 5),
           entryWith("more", repeat("[", nestingDepth / 2) + repeat("]", nestingDepth / 2))};
    for (const std::string &body : deepBodies) {
        const std::size_t before = standin::allocated().bytes;
        EXPECT_FALSE(parseListedWorker("i-1", body).has_value());
        EXPECT_FALSE(parseConfiguration(body).has_value());
        EXPECT_TRUE(isRefused(body));
        EXPECT_EQ(parsePollAnswer(200, body).outcome, command_outcome::no_answer);
        EXPECT_FALSE(parseCommandAnswer(200, body).clockMs.has_value());
        EXPECT_FALSE(parseRangePage(body).has_value());
        EXPECT_FALSE(parseWatchPage(body).has_value());
        EXPECT_FALSE(parseItem(body).has_value());
        EXPECT_FALSE(parseLeaseAnswer(body).has_value());
        EXPECT_LT(standin::allocated().bytes - before, maxAllocatedBytes);
    }
}

TEST(MalformedBody, BracketsInStringsAreNotNesting)
{
    const std::string payload = repeat("[{\\\"\\\\", 200);
    const auto spec = parseJobBody(R"({"spec":")" + payload + R"(","steps":[{"count":1,"cpu":1}]})",
                                   {"0123456789abcdef"}, {"queue"});
    ASSERT_TRUE(spec.has_value());
    EXPECT_EQ(spec->payload, repeat("[{\"\\", 200));
}

TEST(MalformedEntry, NumbersOutOfRangeAreRejected)
{
    ASSERT_TRUE(parseListedWorker("i-1", validEntry().dump()).has_value());
    for (const char *field : {"capacity/cpu", "capacity/memMb", "capacity/gpu", "born"}) {
        for (const char *number : outOfRange)
            EXPECT_FALSE(parseListedWorker("i-1", entryWith(field, number)).has_value())
                << field << " " << number;
        EXPECT_FALSE(parseListedWorker("i-1", entryWith(field, "-1")).has_value()) << field;
    }
}

TEST(MalformedEntry, FieldsOfAnotherTypeAreRejected)
{
    for (const char *field : {"service", "address", "zone", "state", "capacity", "capacity/cpu",
                              "capacity/memMb", "capacity/gpu", "labels", "born"}) {
        for (const char *value : {"null", "true", "[7]", "{}", "\"\"", "1.5"})
            EXPECT_FALSE(parseListedWorker("i-1", entryWith(field, value)).has_value())
                << field << " " << value;
    }
    EXPECT_FALSE(parseListedWorker("i-1", entryWith("born", "\"x\"")).has_value());
    for (const char *field : {"service", "address", "zone", "state", "capacity", "labels"}) {
        json entry = validEntry();
        entry.erase(field);
        EXPECT_FALSE(parseListedWorker("i-1", entry.dump()).has_value()) << field;
    }
}

TEST(MalformedEntry, PortsOutOfRangeAreRejected)
{
    for (const char *port : {"0", "65536", "99999999999", "-1", "+80", "80x", " 80", "", "0x50"}) {
        const std::string address = fmt::format("\"10.0.0.9:{}\"", port);
        EXPECT_FALSE(parseListedWorker("i-1", entryWith("address", address)).has_value()) << port;
    }
    EXPECT_TRUE(parseListedWorker("i-1", entryWith("address", "\"10.0.0.9:65535\"")).has_value());
}

// An identifier is sent in a header of each command and stored as one line of the list of workers.
TEST(MalformedEntry, KeysThatAreNoIdentifierAreRejected)
{
    for (const std::string &id :
         {std::string(), std::string("a/b"), std::string("a\nb"), std::string("a\r\nX: y"),
          std::string("a b"), std::string("a\0b", 3), std::string("\xff"), std::string(300, 'a')})
        EXPECT_FALSE(parseListedWorker(id, validEntry().dump()).has_value()) << id;
}

TEST(MalformedEntry, LongStringsAndManyLabelsAreRejected)
{
    const std::string longText = "\"" + std::string(100'000, 'x') + "\"";
    EXPECT_FALSE(parseListedWorker("i-1", entryWith("service", longText)).has_value());
    EXPECT_FALSE(parseListedWorker("i-1", entryWith("zone", longText)).has_value());
    EXPECT_FALSE(parseListedWorker("i-1", entryWith("labels", "[" + longText + "]")).has_value());
    const std::string manyLabels = "[\"x\"" + repeat(",\"x\"", 100'000) + "]";
    EXPECT_FALSE(parseListedWorker("i-1", entryWith("labels", manyLabels)).has_value());
}

TEST(MalformedReport, NumbersOutOfRangeAreNotTruncated)
{
    for (const char *number : outOfRange) {
        const std::string n = number;
        EXPECT_EQ(parsePollAnswer(200, R"({"clockMs":)" + n + "}").outcome,
                  command_outcome::no_answer)
            << n;
        EXPECT_FALSE(parseCommandAnswer(200, R"({"clockMs":)" + n + "}").clockMs.has_value()) << n;
        const poll_result result = parsePollAnswer(
            200,
            R"({"clockMs":5,"born":)" + n + R"(,"running":[["a.0.0.1",)" + n + R"(]],"ended":[[)"
                + n + R"(,"a.0.0.1",1,"done"],[4,"a.0.0.1",)" + n + R"(,"done"]]})");
        EXPECT_EQ(result.report.incarnationStartUnixMs, 0) << n;
        EXPECT_TRUE(result.report.running.empty()) << n;
        for (const completion_report &end : result.report.completedRuns) {
            EXPECT_EQ(end.number, 4) << n;
            EXPECT_TRUE(end.task.job.empty()) << n;
        }
    }
    const poll_result result
        = parsePollAnswer(200, R"({"clockMs":5,"running":[["a.0.0.1",4294967297]]})");
    EXPECT_TRUE(result.report.running.empty());
    const poll_result withInvalidFields = parsePollAnswer(
        200, R"({"clockMs":5,"running":[["a.0.0.1",1,"",1e300,-1e300],["a.0.0.2",2,"",7,8]]})");
    ASSERT_EQ(withInvalidFields.report.running.size(), 2u);
    EXPECT_EQ(withInvalidFields.report.running[0].progressPercent, 0);
    EXPECT_EQ(withInvalidFields.report.running[0].measurement, 0);
}

TEST(MalformedJob, NumbersOutOfRangeAreRejected)
{
    ASSERT_FALSE(isRefused(jobWith("estimateMs", "5")));
    for (const char *field :
         {"count", "cpu", "memMb", "gpu", "estimateMs", "antiAffinity", "targetMs", "mayMiss",
          "job.repetitions", "job.startAtMs", "job.intervalMs"}) {
        for (const char *number : outOfRange)
            EXPECT_TRUE(isRefused(jobWith(field, number))) << field << " " << number;
        EXPECT_TRUE(isRefused(jobWith(field, "-1"))) << field;
        EXPECT_TRUE(isRefused(jobWith(field, "\"5\""))) << field;
    }
    // Truncated to 32 bits, 2^32 + 1 would be a valid count of 1, and 2^32 the valid step 0.
    EXPECT_TRUE(isRefused(jobWith("count", "4294967297")));
    EXPECT_TRUE(
        isRefused(R"({"steps":[{"count":1,"cpu":1},{"count":1,"cpu":1,"after":[4294967296]}]})"));
}

TEST(MalformedConfiguration, NumbersOutOfRangeAreNotTruncated)
{
    for (const char *number : outOfRange) {
        const std::string n = number;
        EXPECT_FALSE(parseConfiguration(R"({"version":)" + n + "}").has_value()) << n;
        const auto config = parseConfiguration(
            R"({"version":1,"routes":[{"host":"h","prefix":"/","service":"s","timeoutMs":)" + n
            + R"(,"priority":)" + n + R"(,"maxAttempts":)" + n + R"(,"targetLatencyMs":)" + n
            + "}]}");
        if (!config)
            continue;
        ASSERT_EQ(config->queues.size(), 1u);
        EXPECT_EQ(config->queues[0].timeoutMs, 0) << n;
        EXPECT_EQ(config->queues[0].policy.priority, 0) << n;
        EXPECT_EQ(config->queues[0].policy.attemptLimit, 1) << n;
        EXPECT_EQ(config->queues[0].policy.objectiveSlackMs, 0) << n;
    }
    const auto config = parseConfiguration(
        R"({"version":1,"routes":[{"host":"h","prefix":"/","service":"s","stretch":1e300}]})");
    ASSERT_TRUE(config.has_value());
    EXPECT_LE(config->queues[0].policy.stretch, 1e6);
}

// A valid entry next to one whose value cannot be decoded has to stay in the list, and the previous
// value of the malformed entry's key has to be dropped.
TEST(MalformedItem, IsListedWithAnEmptyValueInPagesAndEvents)
{
    const std::string items
        = R"([{"key":"servers/a","value":"e30=","revision":5},{"key":"servers/b","value":"%%",)"
          R"("revision":6},{"key":"servers/c","revision":7},7])";
    const auto page = parseRangePage(R"({"items":)" + items + R"(,"hasMore":true,"currentRev":9})");
    ASSERT_TRUE(page.has_value());
    ASSERT_EQ(page->entries.size(), 3u);
    EXPECT_EQ(page->entries[0].value, "{}");
    EXPECT_EQ(page->entries[1].value, "");
    EXPECT_EQ(page->entries[2].key, "servers/c");
    const auto watched = parseWatchPage(R"({"events":)" + items + R"(,"currentRev":9})");
    ASSERT_TRUE(watched.has_value());
    ASSERT_EQ(watched->changes.size(), 3u);
    EXPECT_FALSE(watched->changes[1].isDeleted);
    EXPECT_EQ(watched->changes[1].entry.modRevision, 6);
    // The read of a single key needs the value, so a value that cannot be decoded is no answer.
    EXPECT_FALSE(parseItem(R"({"key":"servers/b","value":"%%","revision":6})").has_value());
}

// The next page begins after the key of the last item, even if its value cannot be decoded.
TEST(MalformedItem, AtTheEndOfAPageGivesTheLastKey)
{
    const auto page
        = parseRangePage(R"({"items":[{"key":"a","value":"%%"}],"hasMore":true,"currentRev":9})");
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->lastKey, "a");
    const auto unnamed
        = parseRangePage(R"({"items":[{"key":"a"},7],"hasMore":true,"currentRev":9})");
    ASSERT_TRUE(unnamed.has_value());
    EXPECT_EQ(unnamed->lastKey, "");
}

// A key may not be valid UTF-8. It must not make the whole page unreadable.
TEST(MalformedItem, KeysWithInvalidUtf8LeaveThePageReadable)
{
    const std::string items = "[{\"key\":\"servers/\xff\xc3\",\"value\":\"e30=\",\"revision\":5},"
                              "{\"key\":\"servers/b\",\"value\":\"e30=\",\"revision\":6}]";
    const auto page = parseRangePage(R"({"items":)" + items + R"(,"currentRev":9})");
    ASSERT_TRUE(page.has_value());
    ASSERT_EQ(page->entries.size(), 2u);
    EXPECT_EQ(page->entries[1].key, "servers/b");
    const auto watched = parseWatchPage(R"({"events":)" + items + R"(,"currentRev":9})");
    ASSERT_TRUE(watched.has_value());
    EXPECT_EQ(watched->changes.size(), 2u);
}

TEST(MalformedItem, NumbersOutOfRangeInStoreAnswersAreRejected)
{
    for (const char *number : outsideInt64) {
        const std::string n = number;
        EXPECT_FALSE(parseWatchPage(R"({"events":[],"currentRev":)" + n + "}").has_value()) << n;
        const auto lease = parseLeaseAnswer(R"({"lease":7,"ttlMs":)" + n + "}");
        EXPECT_TRUE(!lease || lease->ttlSeconds == 0) << n;
    }
}
