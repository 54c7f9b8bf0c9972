/// Parses a whole set of workload files and checks the rules that span several files.
#ifndef CROCUSWIND_PROTOCOL_WORKLOAD_CHECKS_H
#define CROCUSWIND_PROTOCOL_WORKLOAD_CHECKS_H

#include "workload_file.h"

#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

constexpr std::size_t maxWorkloadFiles = 256; ///< Most files in a set.

/// Largest total size of the files of a set. A set is stored as one value, and the store limits a
/// value to 1 MB.
constexpr std::size_t maxWorkloadSetBytes = 700 * 1000;

/// Parses a set of files and checks it as a whole: names of services, jobs and teams are unique;
/// every team that a section refers to is declared; urgent services have a deadline; the services
/// of a team together, and each of its jobs, fit the team's quota; the set is within the limits
/// above. Returns the set, or all mistakes of all files.
tl::expected<workload_set, findings>
parseWorkloadFiles(const std::vector<workload_source> &sources);

/// Appends to \p found the mistakes that involve several sections of \p set: duplicate names,
/// undeclared teams and exceeded quotas.
void checkWorkloadSet(const workload_set &set, findings &found);

} // namespace crocuswind

#endif
