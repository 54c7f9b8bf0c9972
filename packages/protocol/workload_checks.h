/// Defines the checks over a whole set of workload files: what a single file cannot show.
#ifndef CROCUSWIND_PROTOCOL_WORKLOAD_CHECKS_H
#define CROCUSWIND_PROTOCOL_WORKLOAD_CHECKS_H

#include "workload_file.h"

#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

constexpr std::size_t maxWorkloadFiles = 256; ///< Bound on the number of files in a set.

/// Bound on all files of a set together: the set is one value in the store, whose limit is 1 MB.
constexpr std::size_t maxWorkloadSetBytes = 700 * 1000;

/// Parses a set of files and checks it as a whole. The names of services, of jobs and of teams are
/// unique; every team that is named exists; urgent services give a deadline; the services of a team
/// together, and each of its jobs, fit the team's quota; the bounds above hold. Returns the set, or
/// all mistakes of all files.
tl::expected<workload_set, findings>
parseWorkloadFiles(const std::vector<workload_source> &sources);

/// Appends to \p found the mistakes that only show in the whole of \p set.
void checkWorkloadSet(const workload_set &set, findings &found);

} // namespace crocuswind

#endif
