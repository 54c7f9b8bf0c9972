#include "invariant.h"

#include <cstdlib>
#include <fmt/format.h>

namespace crocuswind {

void failInvariant(const char *expression, const char *file, int line, const std::string &values)
{
    fmt::print(stderr, "internal error: {}:{}: '{}' does not hold: {}\n", file, line, expression,
               values);
    std::abort();
}

} // namespace crocuswind
