/// Spreads the return of callers that were refused for load.
///
/// Load pattern: many callers are refused in the same second and told the same delay. They would
/// return together and be refused together again.
#ifndef CROCUSWIND_POLICY_RETRY_SPREAD_H
#define CROCUSWIND_POLICY_RETRY_SPREAD_H

#include "base/base.h"

#include <cstdint>
#include <string_view>

namespace crocuswind::policy {

/// Returns the delay in whole seconds, at least one, after which the caller named \p name may
/// return: from \p earliest up to twice that long, evenly spread by a hash of the name. Delays are
/// whole seconds since callers are told no other.
std::int64_t spreadRetrySeconds(duration earliest, std::string_view name);

} // namespace crocuswind::policy

#endif
