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
    /// Start of the incarnation that the owner knows; 0 if none, and in lists of earlier builds.
    std::int64_t incarnationStartUnixMs = 0;

    friend bool operator==(const stored_worker &a, const stored_worker &b)
    {
        return a.id == b.id && a.address == b.address
            && a.incarnationStartUnixMs == b.incarnationStartUnixMs;
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

/// A lease that commands meant for an earlier incarnation of a worker may have given the present
/// one. It may outlast the authority of the owners, because the worker compared their deadlines
/// with a clock that had started anew.
struct misdirected_lease
{
    worker_id worker;
    std::int64_t timeLeftMs = 0; ///< As in silent_lease.

    friend bool operator==(const misdirected_lease &a, const misdirected_lease &b)
    {
        return a.worker == b.worker && a.timeLeftMs == b.timeLeftMs;
    }
};

/// Finite runs that may last on an incarnation of a silent worker that has answered no owner. They
/// come from starts that were meant for the incarnation before.
struct unanswered_runs
{
    worker_id worker;
    std::int64_t timeLeftMs = 0; ///< Until they have ended, as in silent_lease.

    friend bool operator==(const unanswered_runs &a, const unanswered_runs &b)
    {
        return a.worker == b.worker && a.timeLeftMs == b.timeLeftMs;
    }
};

/// The highest reading that a worker's clock can have had when a list was written. A reader that
/// learns of a later reading knows for how long the list has existed at least.
struct clock_witness
{
    worker_id worker;
    std::int64_t incarnationStartUnixMs = 0; ///< The incarnation whose clock it is.
    std::int64_t clockMs = 0;

    friend bool operator==(const clock_witness &a, const clock_witness &b)
    {
        return a.worker == b.worker && a.incarnationStartUnixMs == b.incarnationStartUnixMs
            && a.clockMs == b.clockMs;
    }
};

/// The workers of an owner, and the leases of those that are silent.
struct worker_list
{
    std::vector<stored_worker> workers;
    std::vector<silent_lease> silent;
    std::optional<owner_moment> writtenAt; ///< Absent in lists of earlier builds.
    std::vector<clock_witness> witnesses; ///< Of when it was written; none without leases.
    std::vector<misdirected_lease> misdirected; ///< None in lists of earlier builds.
    std::vector<unanswered_runs> unanswered; ///< Of silent workers.
    /// The other silent workers have no such runs. False in lists of earlier builds, which name
    /// none.
    bool namesUnanswered = false;

    friend bool operator==(const worker_list &a, const worker_list &b)
    {
        return a.workers == b.workers && a.silent == b.silent && a.writtenAt == b.writtenAt
            && a.witnesses == b.witnesses && a.misdirected == b.misdirected
            && a.unanswered == b.unanswered && a.namesUnanswered == b.namesUnanswered;
    }
};

/// Formats the incarnations as a line ` lives/milliseconds,milliseconds,...` in the order of the
/// workers, the misdirected leases as lines ` restarted/milliseconds/id`, the unanswered runs as
/// lines ` unanswered/milliseconds/id` after a line ` unanswered/`, the witnesses as lines `
/// incarnation/milliseconds/id`, when the list was written as a line ` epoch/milliseconds`, and one
/// worker a line, `id address`. Earlier builds skip the lines that begin with a space, and take the
/// last of them for the time of writing. The silent leases follow the last line end, each as `id
/// epoch milliseconds `: builds still earlier ignore that part.
std::string toText(const worker_list &list);

/// Parses the output of toText(). Lines without a worker are skipped. If the part on silent leases
/// is malformed it counts as empty, so that the longest possible leases are assumed; a malformed
/// time or witness counts as absent, a misdirected lease or unanswered runs whose time is malformed
/// as ones of an hour, and incarnations that are malformed or not one for each worker as unknown.
worker_list parseWorkerList(std::string_view text);

} // namespace crocuswind::scheduler

#endif
