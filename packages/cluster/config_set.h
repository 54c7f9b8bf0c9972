/// Defines the published configuration: one value in the store that holds all workload files.
#ifndef CROCUSWIND_CLUSTER_CONFIG_SET_H
#define CROCUSWIND_CLUSTER_CONFIG_SET_H

#include "base/base.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

/// The store key of the current configuration.
inline const std::string configCurrentKey = "config/current";

/// Largest encoded configuration in bytes. The store's values are limited to 1 MB and are sent as
/// base64, which adds a third.
constexpr std::size_t maxConfigBytes = 700 * 1024;

/// Largest number of files in a configuration.
constexpr std::size_t maxConfigFiles = 4096;

/// Number of revisions kept under `config/history/`; older entries are deleted on publication, so
/// that the store does not grow with each of the expected 360 changes a day.
constexpr std::int64_t configHistoryLength = 100;

/// One workload file.
struct config_file
{
    std::string name;
    std::string text;

    friend bool operator==(const config_file &a, const config_file &b)
    {
        return a.name == b.name && a.text == b.text;
    }
};

/// One published set of workload files.
struct config_set
{
    std::int64_t revision = 0; ///< Counts publications from 1.
    std::string publication; ///< Random identifier of the publication attempt that wrote it.
    std::string author;
    std::int64_t timeMs = 0; ///< When it was published, in milliseconds since the Unix epoch.
    std::vector<config_file> files; ///< Sorted by name, names are unique.

    friend bool operator==(const config_set &a, const config_set &b)
    {
        return a.revision == b.revision && a.publication == b.publication && a.author == b.author
            && a.timeMs == b.timeMs && a.files == b.files;
    }
};

/// Returns the store key of the history entry of a revision.
std::string configHistoryKey(std::int64_t revision);

/// Encodes a configuration as JSON {revision, publication, author, time, files}. Text that is not
/// UTF-8 has its invalid bytes replaced.
std::string encodeConfig(const config_set &config);

/// Decodes a configuration, or returns a description of the error: not JSON, a missing field, a
/// revision below 1, a file named twice, or more than `maxConfigBytes`. Unknown fields are ignored.
tl::expected<config_set, std::string> decodeConfig(std::string_view text);

/// Returns the names of the files that are added, removed or changed from \p from to \p to, sorted.
std::vector<std::string> changedFiles(const config_set &from, const config_set &to);

} // namespace crocuswind

#endif
