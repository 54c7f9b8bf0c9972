// Guards against repeated copies of the strings in a worker's report while the report is parsed.

#include "platform/wire_bodies.h"
#include "standin/allocation_counter.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace crocuswind;

namespace {

// Returns the number of allocations that parsing a report of \p rows runs takes, without those of
// the JSON tree.
std::size_t allocationsOf(std::size_t rows)
{
    std::string running;
    for (std::size_t i = 0; i < rows; ++i)
        running += fmt::format(R"({}["5c0e7a21d94b36f8.0.1.{}",2,"00000bb87a21d94b",41,37])",
                               i > 0 ? "," : "", i);
    const std::string body
        = fmt::format(R"({{"clockMs":482113,"running":[{}],"ended":[]}})", running);
    const std::size_t before = standin::allocated().allocations;
    const auto tree = nlohmann::json::parse(body);
    const std::size_t ofTree = standin::allocated().allocations - before;
    const scheduler::poll_result result = platform::parsePollAnswer(200, body);
    EXPECT_EQ(result.report.running.size(), rows);
    return standin::allocated().allocations - before - 2 * ofTree;
}

} // namespace

// Each row used to be copied twice, and all rows were moved whenever the capacity of their list
// doubled.
TEST(PlatformReportCost, StringsOfARowAreAllocatedOnce)
{
    allocationsOf(1); // Makes the allocations that happen once in a process.
    // Each of the 20 rows allocates its job's name and its checkpoint. A further copy of either
    // would add 20 allocations.
    EXPECT_LT(allocationsOf(30) - allocationsOf(10), 3 * 20U);
}
