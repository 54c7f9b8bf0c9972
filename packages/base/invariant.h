/// Defines how broken internal conditions end the process. A user's mistake never takes this path;
/// it becomes a finding (see findings.h).
#ifndef CROCUSWIND_BASE_INVARIANT_H
#define CROCUSWIND_BASE_INVARIANT_H

#include <string>

namespace crocuswind {

/// Prints the broken condition with its place and values to standard error and ends the process.
[[noreturn]] void failInvariant(const char *expression, const char *file, int line,
                                const std::string &values);

} // namespace crocuswind

/// Ends the process if \p condition is false; \p values is a string that is built only then.
#define CROCUSWIND_INVARIANT(condition, values)                                                    \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::crocuswind::failInvariant(#condition, __FILE__, __LINE__, (values));                 \
    } while (false)

#endif
