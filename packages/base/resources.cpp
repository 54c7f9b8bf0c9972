#include "resources.h"

#include <fmt/format.h>

namespace crocuswind {

std::string toString(const resources &amount)
{
    return fmt::format("{}.{:03} cores, {} MB, {} accelerators", amount.milliCores / 1000,
                       amount.milliCores % 1000, amount.memoryMb, amount.accelerators);
}

} // namespace crocuswind
