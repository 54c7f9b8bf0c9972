// Guards against arbitrary bytes in caller bodies that crash a parser, and against accepted values
// that change when they are formatted and parsed again.

#include "protocol/protocol.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

const std::vector<std::string> bases = {
    R"({"id":"a.1.2","service":"s","team":"t","time_left_ms":5,"urgency":"urgent","payload":"x"})",
    R"({"team":"t","name":"n","kind":"finite","cores":0.5,"memory_mb":10,"payload":"a"})",
    R"({"id":"a.1.2","outcome":"answered","answer":"x","reason":"r"})",
    R"({"jobs":[{"job":"t/n","state":"done","tasks":[{"state":"done","attempts":1}]}],"next":""})",
    R"({"error":"e","findings":[{"field":"f","line":1,"column":2,"message":"m"}]})"};

/// Applies up to four mutations to \p text: bytes are replaced, removed or inserted.
std::string mutate(std::string text, random_source &random)
{
    const std::uint64_t changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random.below(text.size());
        if (random.below(3) == 0)
            text[at] = char(random.below(256));
        else if (random.below(2) == 0)
            text.erase(at, 1 + random.below(4));
        else
            text.insert(at, 1, "[]{}:,\"\\0e-"[random.below(11)]);
    }
    return text;
}

} // namespace

TEST(CallerFuzz, MutatedBodiesGiveFindingsOrValuesThatRoundTrip)
{
    seeded_random random(20261204);
    for (int round = 0; round < 20000; ++round) {
        const std::string body = mutate(bases[random.below(bases.size())], random);
        if (const auto request = parseCallerRequest(body)) {
            ASSERT_EQ(parseCallerRequest(toBody(*request)), *request) << body;
        }
        if (const auto job = parseCallerJob(body)) {
            ASSERT_EQ(parseCallerJob(toBody(*job)), *job) << body;
        }
        if (const auto outcome = parseCallerOutcome(body)) {
            const auto again = parseCallerOutcome(toBody(*outcome));
            ASSERT_TRUE(again) << body;
            ASSERT_EQ(again->what, outcome->what);
        }
        if (const auto list = parseCallerJobList(body)) {
            ASSERT_EQ(parseCallerJobList(toBody(*list)), *list) << body;
        }
        (void)parseCallerError(body);
        (void)parseCallerRequestId(body);
    }
}
