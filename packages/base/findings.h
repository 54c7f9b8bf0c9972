/// Defines findings: mistakes in what a user gave, each with its place. They are collected and
/// reported together, so that one run shows everything there is to correct.
#ifndef CROCUSWIND_BASE_FINDINGS_H
#define CROCUSWIND_BASE_FINDINGS_H

#include <string>
#include <string_view>
#include <vector>

namespace crocuswind {

/// Where a finding stands: a file with line and column (from 1, 0 if not known), or another source
/// such as a flag, an environment variable or a field of a request body.
struct source_place
{
    std::string source;
    int line = 0;
    int column = 0;

    friend bool operator==(const source_place &a, const source_place &b)
    {
        return a.source == b.source && a.line == b.line && a.column == b.column;
    }
};

/// One mistake of a user.
struct finding
{
    source_place place;
    std::string message;

    friend bool operator==(const finding &a, const finding &b)
    {
        return a.place == b.place && a.message == b.message;
    }
};

/// All mistakes found in one input, in the order in which they were found.
using findings = std::vector<finding>;

/// Formats a finding as `source:line:column: message`, without the parts of the place that are 0.
std::string toString(const finding &f);

/// Formats all findings, one a line.
std::string toString(const findings &all);

/// Returns the candidate with the smallest edit distance to \p word, or an empty string when even
/// the nearest differs in more than half of its letters.
std::string nearestWord(std::string_view word, const std::vector<std::string> &candidates);

} // namespace crocuswind

#endif
