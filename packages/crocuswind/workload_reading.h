/// Defines how workload files are read from disk and validated.
#ifndef CROCUSWIND_CROCUSWIND_WORKLOAD_READING_H
#define CROCUSWIND_CROCUSWIND_WORKLOAD_READING_H

// cluster/cluster.h and io/io.h both declare peer_hello, so only the needed headers are included.
#include "cluster/cluster.h"
#include "protocol/protocol.h"

#include <string>
#include <vector>

namespace crocuswind {

/// Workload files that were read and are valid.
struct checked_files
{
    std::vector<config_file> files; ///< Named without their directory and sorted by name.
    workload_set set;
};

/// Reads and validates workload files; a directory stands for all `*.toml` files in it. Throws a
/// command_error of status `usage` that lists the errors of all files with line and column.
checked_files readWorkloadFiles(const std::vector<std::string> &paths);

} // namespace crocuswind

#endif
