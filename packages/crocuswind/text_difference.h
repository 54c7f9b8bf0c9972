/// Defines the difference between two texts, line by line.
#ifndef CROCUSWIND_CROCUSWIND_TEXT_DIFFERENCE_H
#define CROCUSWIND_CROCUSWIND_TEXT_DIFFERENCE_H

#include <string>
#include <string_view>

namespace crocuswind {

/// Returns the lines that differ, each with `-` (only in \p before) or `+` (only in \p after) and
/// its line number, and nothing for equal texts. The lines kept are a longest common sequence,
/// unless the differing parts are too long for that; then all their lines are listed.
std::string textDifference(std::string_view before, std::string_view after);

} // namespace crocuswind

#endif
