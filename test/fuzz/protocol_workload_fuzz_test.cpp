// Guards against arbitrary bytes in workload files that crash the parser, are accepted with values
// out of bounds, or give different results when parsed twice.

#include "protocol/protocol.h"

#include <gtest/gtest.h>

using namespace crocuswind;

namespace {

const std::string base = "[team.lab]\ncores = 8\nmemory_mb = 1000\n[service.s]\nteam = \"lab\"\n"
                         "urgency = \"urgent\"\ndeadline_ms = 20\ncores = 1.5\nmemory_mb = 10\n"
                         "repeatable = true\n[job.j]\nteam = \"lab\"\nkind = \"finite\"\n"
                         "run_ms = 9\ncores = 1\nmemory_mb = 10\n";

/// Applies up to 8 mutations to \p text: bytes are replaced, removed or inserted, or a slice is
/// repeated.
std::string mutate(std::string text, random_source &random)
{
    const std::uint64_t changes = 1 + random.below(8);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random.below(text.size());
        switch (random.below(4)) {
        case 0:
            text[at] = char(random.below(256));
            break;
        case 1:
            text.erase(at, 1 + random.below(5));
            break;
        case 2:
            text.insert(at, text.substr(random.below(text.size()), random.below(40)));
            break;
        default:
            text.insert(at, 1, "[]{}=\".#\n-09e"[random.below(13)]);
        }
    }
    return text;
}

} // namespace

TEST(WorkloadFuzz, MutatedFilesGiveFindingsOrBoundedValues)
{
    seeded_random random(20261204);
    for (int round = 0; round < 4000; ++round) {
        const std::vector<workload_source> sources = {{"a.toml", mutate(base, random)}};
        const auto set = parseWorkloadFiles(sources);
        EXPECT_EQ(set, parseWorkloadFiles(sources));
        if (!set) {
            ASSERT_FALSE(set.error().empty());
            continue;
        }
        for (const workload_service &s : set->services) {
            ASSERT_GT(s.common.size.milliCores, 0);
            ASSERT_GT(s.common.size.memoryMb, 0);
            ASSERT_GE(s.common.replicas, 1);
        }
    }
}

TEST(WorkloadFuzz, DeepNestingIsRefused)
{
    const std::string text = "a = " + std::string(100000, '[');
    EXPECT_FALSE(parseWorkloadFiles({{"a.toml", text}}));
}
