#include "text_difference.h"

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <vector>

namespace crocuswind {

namespace {

/// Limits the table of the longest common subsequence to 16 MB.
constexpr std::size_t maxCells = 4 * 1024 * 1024;

std::vector<std::string_view> linesOf(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return lines;
}

} // namespace

std::string textDifference(std::string_view before, std::string_view after)
{
    const std::vector<std::string_view> a = linesOf(before);
    const std::vector<std::string_view> b = linesOf(after);
    std::size_t commonPrefix = 0;
    while (commonPrefix < a.size() && commonPrefix < b.size() && a[commonPrefix] == b[commonPrefix])
        ++commonPrefix;
    std::size_t commonSuffix = 0;
    while (commonSuffix < a.size() - commonPrefix && commonSuffix < b.size() - commonPrefix
           && a[a.size() - 1 - commonSuffix] == b[b.size() - 1 - commonSuffix])
        ++commonSuffix;
    const std::size_t rows = a.size() - commonPrefix - commonSuffix;
    const std::size_t columns = b.size() - commonPrefix - commonSuffix;

    // common(i, j) is the length of the longest common subsequence of the lines from i and j on.
    const bool isBounded = (rows + 1) * (columns + 1) <= maxCells;
    std::vector<std::uint32_t> table(isBounded ? (rows + 1) * (columns + 1) : 0);
    const auto common = [&](std::size_t i, std::size_t j) -> std::uint32_t & {
        return table[i * (columns + 1) + j];
    };
    for (std::size_t i = rows; isBounded && i-- > 0;) {
        for (std::size_t j = columns; j-- > 0;) {
            common(i, j) = a[commonPrefix + i] == b[commonPrefix + j]
                ? common(i + 1, j + 1) + 1
                : std::max(common(i + 1, j), common(i, j + 1));
        }
    }

    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < rows || j < columns) {
        if (isBounded && i < rows && j < columns && a[commonPrefix + i] == b[commonPrefix + j]) {
            ++i;
            ++j;
        } else if (i < rows
                   && (j == columns || !isBounded || common(i + 1, j) >= common(i, j + 1))) {
            text += fmt::format("-{:>5} {}\n", commonPrefix + i + 1, a[commonPrefix + i]);
            ++i;
        } else {
            text += fmt::format("+{:>5} {}\n", commonPrefix + j + 1, b[commonPrefix + j]);
            ++j;
        }
    }
    return text;
}

} // namespace crocuswind
