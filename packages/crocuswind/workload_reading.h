/// Defines how workload files are read from disk and checked.
#ifndef CROCUSWIND_CROCUSWIND_WORKLOAD_READING_H
#define CROCUSWIND_CROCUSWIND_WORKLOAD_READING_H

// cluster/cluster.h and io/io.h both declare peer_hello, so only what is needed is included.
#include "cluster/cluster.h"
#include "protocol/protocol.h"

#include <string>
#include <vector>

namespace crocuswind {

/// Files that were read and found to be without mistakes.
struct checked_files
{
    std::vector<config_file> files; ///< Named by file name alone, sorted by it.
    workload_set set;
};

/// Reads and checks workload files; a folder stands for all `*.toml` files in it. Throws a
/// command_error of status `usage` that lists all mistakes of all files with line and column.
checked_files readWorkloadFiles(const std::vector<std::string> &paths);

} // namespace crocuswind

#endif
