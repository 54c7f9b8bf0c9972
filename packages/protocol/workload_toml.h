/// Includes toml++ with assertions that throw. Internal to the package; no other file may include
/// toml++, since differing definitions of its inline functions would violate the one-definition
/// rule.
///
/// A malformed file can fail an assertion in the parser of toml++ 3.3.0. A section such as `[.a]`
/// aborts the process, or is undefined behaviour with NDEBUG. Here a failed assertion throws.
#ifndef CROCUSWIND_PROTOCOL_WORKLOAD_TOML_H
#define CROCUSWIND_PROTOCOL_WORKLOAD_TOML_H

#include <stdexcept>

namespace crocuswind {

/// Thrown in place of a failed assertion of toml++.
struct toml_assertion : std::logic_error
{
    using std::logic_error::logic_error;
};

/// Throws toml_assertion. A separate function, since some assertions are in functions that must not
/// throw.
[[noreturn]] inline void failTomlAssertion(const char *condition)
{
    throw toml_assertion(condition);
}

} // namespace crocuswind

#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(condition)                                                                     \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::crocuswind::failTomlAssertion(#condition);                                           \
    } while (false)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

#endif
