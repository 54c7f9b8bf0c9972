/// Reads the keys of one section of a workload file, and reports keys that are missing, of the
/// wrong type, out of bounds or unknown. Internal to the package.
#ifndef CROCUSWIND_PROTOCOL_WORKLOAD_SECTION_H
#define CROCUSWIND_PROTOCOL_WORKLOAD_SECTION_H

#include "workload_toml.h"

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// Inclusive bounds of a number.
struct workload_bounds
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// Reads the keys of one section. Reading a key marks it as known; reportUnknownKeys() then reports
/// all others.
class workload_section
{
public:
    /// Reads \p table, the section \p title of \p file, such as `service.drift`. Appends mistakes
    /// to \p found.
    workload_section(const toml::table &table, std::string file, std::string title,
                     findings &found);

    /// Returns a required text that is a valid name.
    std::string name(const std::string &key);

    /// Returns a whole number within \p bounds. Returns \p defaultValue if the key is missing;
    /// without a default, a missing key is a mistake.
    std::int64_t number(const std::string &key, workload_bounds bounds,
                        std::optional<std::int64_t> defaultValue);

    /// Returns a required number, which may have a fraction, in thousandths. The bounds are in
    /// thousandths as well.
    std::int64_t thousandths(const std::string &key, workload_bounds bounds);

    /// Returns a boolean, or \p defaultValue if the key is missing.
    bool flag(const std::string &key, bool defaultValue);

    /// Returns the index of the value in \p words, or the size of \p words after a mistake. Returns
    /// \p defaultValue if the key is missing; without a default, a missing key is a mistake.
    std::size_t choice(const std::string &key, const std::vector<std::string> &words,
                       std::optional<std::size_t> defaultValue);

    /// Returns true if the section has \p key.
    bool has(const std::string &key) const { return m_table.contains(key); }

    /// Reports a mistake at the value of \p key, or at the section if the key is missing.
    void report(const std::string &key, const std::string &message);

    /// Reports all unknown keys. Returns true if no mistake was found in the section.
    bool reportUnknownKeys();

    /// Returns the position of the section.
    source_place place() const;

private:
    const toml::node *find(const std::string &key, bool required);

    const toml::table &m_table;
    std::string m_file;
    std::string m_title;
    findings &m_found;
    std::size_t m_foundBefore;
    std::vector<std::string> m_known;
};

/// Returns the start of \p region in \p file.
source_place workloadPlace(const std::string &file, const toml::source_region &region);

} // namespace crocuswind

#endif
