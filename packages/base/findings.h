/// Defines findings: errors in user input, each with its location. They are collected and reported
/// together, so that one run shows all errors.
#ifndef CROCUSWIND_BASE_FINDINGS_H
#define CROCUSWIND_BASE_FINDINGS_H

#include <string>
#include <string_view>
#include <vector>

namespace crocuswind {

/// The location of a finding: a file with line and column (from 1, or 0 if not known), or another
/// source such as a flag, an environment variable or a field of a request body.
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

/// One error in user input.
struct finding
{
    source_place place;
    std::string message;

    friend bool operator==(const finding &a, const finding &b)
    {
        return a.place == b.place && a.message == b.message;
    }
};

/// All errors found in one input, in the order of detection.
using findings = std::vector<finding>;

/// Formats a finding as `source:line:column: message`, without line and column if the line is 0.
std::string toString(const finding &f);

/// Formats all findings, one per line.
std::string toString(const findings &all);

/// Returns the candidate with the smallest edit distance to \p word, or an empty string if that
/// distance exceeds half of the candidate's length.
std::string nearestWord(std::string_view word, const std::vector<std::string> &candidates);

} // namespace crocuswind

#endif
