/// Defines how one section of a workload file is read: typed keys with bounds, and findings for
/// whatever is missing, of the wrong type, out of bounds or unknown. Internal to the package.
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

/// Reads the keys of one section. Each read makes its key a known one; finish() then reports the
/// keys that no read asked for.
class workload_section
{
public:
    /// Reads \p table, which stands in \p file under the name \p title, such as `service.drift`.
    /// Mistakes are appended to \p found.
    workload_section(const toml::table &table, std::string file, std::string title,
                     findings &found);

    /// Returns a text that is a valid name.
    std::string name(const std::string &key);

    /// Returns a whole number within \p bounds; \p absent if the key is missing, or a finding if
    /// \p absent is empty.
    std::int64_t number(const std::string &key, workload_bounds bounds,
                        std::optional<std::int64_t> absent);

    /// Returns thousandths of a number that may have a fraction; bounds are in thousandths.
    std::int64_t thousandths(const std::string &key, workload_bounds bounds);

    /// Returns a truth value, or \p absent if the key is missing.
    bool truth(const std::string &key, bool absent);

    /// Returns the index of the word among \p words, or their number after a mistake; \p absent if
    /// the key is missing, or a finding if \p absent is empty.
    std::size_t choice(const std::string &key, const std::vector<std::string> &words,
                       std::optional<std::size_t> absent);

    /// Returns true if the section has \p key.
    bool has(const std::string &key) const { return m_table.contains(key); }

    /// Reports a mistake at \p key, or at the section if it does not have the key.
    void report(const std::string &key, const std::string &message);

    /// Reports all unknown keys. Returns true if the section is without mistakes.
    bool finish();

    /// Returns the place of the section.
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

/// Returns the place of a region in \p file.
source_place workloadPlace(const std::string &file, const toml::source_region &region);

} // namespace crocuswind

#endif
