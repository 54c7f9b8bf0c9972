/// Defines assertions that abort the process if an internal invariant is violated. Errors in user
/// input are reported as findings instead (see findings.h).
#ifndef CROCUSWIND_BASE_INVARIANT_H
#define CROCUSWIND_BASE_INVARIANT_H

#include <string>

namespace crocuswind {

/// Prints the violated condition, its location and values to standard error and aborts.
[[noreturn]] void failInvariant(const char *expression, const char *file, int line,
                                const std::string &values);

} // namespace crocuswind

/// Aborts the process if \p condition is false; \p values, a string, is evaluated only then.
#define CROCUSWIND_INVARIANT(condition, values)                                                    \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::crocuswind::failInvariant(#condition, __FILE__, __LINE__, (values));                 \
    } while (false)

#endif
