#include "retry_spread.h"

#include <algorithm>

namespace crocuswind::policy {

namespace {

/// The shortest spread, so that callers of a short delay return apart, too.
constexpr std::int64_t minSpreadSeconds = 2;
constexpr std::int64_t maxSeconds = 60;

} // namespace

std::int64_t spreadRetrySeconds(duration earliest, std::string_view name)
{
    const std::int64_t whole
        = std::chrono::duration_cast<std::chrono::seconds>(earliest + 999ms).count();
    const std::int64_t seconds = std::clamp<std::int64_t>(whole, 1, maxSeconds);
    const std::int64_t spread = std::max(minSpreadSeconds, seconds);
    return seconds + std::int64_t(stableHash(name) % std::uint64_t(spread + 1));
}

} // namespace crocuswind::policy
