/// Defines the difference between two texts, line by line.
#ifndef CROCUSWIND_CROCUSWIND_TEXT_DIFFERENCE_H
#define CROCUSWIND_CROCUSWIND_TEXT_DIFFERENCE_H

#include <string>
#include <string_view>

namespace crocuswind {

/// Returns the differing lines, each with `-` (only in \p before) or `+` (only in \p after) and its
/// line number, or an empty string for equal texts. The difference is minimal (longest common
/// subsequence) unless the texts between the common prefix and suffix are too long; then all lines
/// of these parts are listed.
std::string textDifference(std::string_view before, std::string_view after);

} // namespace crocuswind

#endif
