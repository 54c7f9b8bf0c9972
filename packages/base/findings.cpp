#include "findings.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace crocuswind {

namespace {

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

} // namespace

std::string toString(const finding &f)
{
    if (f.place.line == 0)
        return fmt::format("{}: {}", f.place.source, f.message);
    return fmt::format("{}:{}:{}: {}", f.place.source, f.place.line, f.place.column, f.message);
}

std::string toString(const findings &all)
{
    std::string text;
    for (const finding &f : all)
        text += toString(f) + "\n";
    return text;
}

std::string nearestWord(std::string_view word, const std::vector<std::string> &candidates)
{
    std::string nearest;
    std::size_t nearestDistance = 0;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(word, candidate);
        if (nearest.empty() || distance < nearestDistance) {
            nearest = candidate;
            nearestDistance = distance;
        }
    }
    if (nearestDistance * 2 > nearest.size())
        return std::string();
    return nearest;
}

} // namespace crocuswind
