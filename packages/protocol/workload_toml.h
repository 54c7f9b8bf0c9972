/// Includes toml++ in a form that survives malformed files. Internal to the package; nothing else
/// may include toml++, so that all of the program sees one form of it.
///
/// toml++ 3.3.0 asserts in the parser what malformed files can break: a section such as `[.a]` ends
/// the process, or is undefined behaviour with NDEBUG. Here a broken assertion throws instead.
#ifndef CROCUSWIND_PROTOCOL_WORKLOAD_TOML_H
#define CROCUSWIND_PROTOCOL_WORKLOAD_TOML_H

#include <stdexcept>

namespace crocuswind {

/// Thrown by toml++ where it would assert.
struct toml_assertion : std::logic_error
{
    using std::logic_error::logic_error;
};

/// Throws; a function of its own, since some assertions stand in functions that cannot throw.
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
