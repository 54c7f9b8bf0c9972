/// Defines the stored list of workers, which tells a later owner where runs may exist and how long
/// the leases of silent workers last. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_WORKER_LIST_H
#define CROCUSWIND_SCHEDULER_WORKER_LIST_H

#include "earlier_authority.h"

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuswind::scheduler {

/// A worker that an owner may have used.
struct stored_worker
{
    worker_id id;
    std::string address; ///< A later owner polls it even if service discovery lists it no longer.

    friend bool operator==(const stored_worker &a, const stored_worker &b)
    {
        return a.id == b.id && a.address == b.address;
    }
};

/// The lease of a worker that does not answer its owner. No owner grants the worker another one
/// before a list without this entry is durable.
struct silent_lease
{
    worker_id worker;
    std::int64_t lastEpoch = 0; ///< No owner of a later epoch has granted the worker a lease.
    /// The lease lapses within this time from when the list was written, or from when it is read if
    /// the reader can't tell when that was.
    std::int64_t timeLeftMs = 0;

    friend bool operator==(const silent_lease &a, const silent_lease &b)
    {
        return a.worker == b.worker && a.lastEpoch == b.lastEpoch && a.timeLeftMs == b.timeLeftMs;
    }
};

/// The workers of an owner, and the leases of those that are silent.
struct worker_list
{
    std::vector<stored_worker> workers;
    std::vector<silent_lease> silent;
    std::optional<owner_moment> writtenAt; ///< Absent in lists of earlier builds.

    friend bool operator==(const worker_list &a, const worker_list &b)
    {
        return a.workers == b.workers && a.silent == b.silent && a.writtenAt == b.writtenAt;
    }
};

/// Formats when the list was written as a line ` epoch/milliseconds`, which earlier builds skip,
/// and one worker a line, `id address`. The silent leases follow the last line end, each as `id
/// epoch milliseconds `: builds still earlier ignore that part.
std::string toText(const worker_list &list);

/// Parses the output of toText(). Lines without a worker are skipped. If the part on silent leases
/// is malformed it counts as empty, so that the longest possible leases are assumed; a malformed
/// time counts as absent.
worker_list parseWorkerList(std::string_view text);

} // namespace crocuswind::scheduler

#endif
