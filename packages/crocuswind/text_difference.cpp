#include "text_difference.h"

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <vector>

namespace crocuswind {

namespace {

/// Bounds the table of the longest common sequence to 16 MB.
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
    std::size_t first = 0;
    while (first < a.size() && first < b.size() && a[first] == b[first])
        ++first;
    std::size_t last = 0;
    while (last < a.size() - first && last < b.size() - first
           && a[a.size() - 1 - last] == b[b.size() - 1 - last])
        ++last;
    const std::size_t rows = a.size() - first - last;
    const std::size_t columns = b.size() - first - last;

    // common(i, j) is the length of the longest common sequence of the lines from i and j on.
    const bool isBounded = (rows + 1) * (columns + 1) <= maxCells;
    std::vector<std::uint32_t> table(isBounded ? (rows + 1) * (columns + 1) : 0);
    const auto common = [&](std::size_t i, std::size_t j) -> std::uint32_t & {
        return table[i * (columns + 1) + j];
    };
    for (std::size_t i = rows; isBounded && i-- > 0;) {
        for (std::size_t j = columns; j-- > 0;) {
            common(i, j) = a[first + i] == b[first + j]
                ? common(i + 1, j + 1) + 1
                : std::max(common(i + 1, j), common(i, j + 1));
        }
    }

    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < rows || j < columns) {
        if (isBounded && i < rows && j < columns && a[first + i] == b[first + j]) {
            ++i;
            ++j;
        } else if (i < rows
                   && (j == columns || !isBounded || common(i + 1, j) >= common(i, j + 1))) {
            text += fmt::format("-{:>5} {}\n", first + i + 1, a[first + i]);
            ++i;
        } else {
            text += fmt::format("+{:>5} {}\n", first + j + 1, b[first + j]);
            ++j;
        }
    }
    return text;
}

} // namespace crocuswind
