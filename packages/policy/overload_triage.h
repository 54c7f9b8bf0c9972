/// Chooses the jobs that can be in time together while there is too little room for all.
///
/// Load pattern: more work waits than can be done before its objectives. In the order of the
/// objectives, each job starts at the last moment, and nearly all end a little late.
#ifndef CROCUSWIND_POLICY_OVERLOAD_TRIAGE_H
#define CROCUSWIND_POLICY_OVERLOAD_TRIAGE_H

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocuswind::policy {

/// A job with work that has not started.
struct triage_job
{
    int priority = 0; ///< Of its queue; 0 is the highest.
    int queue = 0; ///< Index of its queue. Sizes are compared within a queue.
    instant latestStart; ///< By when the work has to have started.
    double work = 0; ///< Estimated work that has not started, in thousandths of a core times ms.
    double size = 0; ///< Estimated work of the whole job, in the same unit.
    bool hasBegun = false; ///< A part of the job is done or runs.
    bool wasGivenUp = false; ///< By the last decision.
};

/// The room that serves the jobs.
struct triage_room
{
    instant now;
    double milliCores = 0; ///< Estimated work that starts per time, in thousandths of a core.
    double workAhead = 0; ///< Work that goes before all jobs, in the unit of `triage_job::work`.
};

/// Which jobs can be in time together.
struct triage_decision
{
    std::vector<bool> isKept; ///< For each job.
    double keptWork = 0; ///< Work of the jobs that are kept, and the work ahead of them.
    std::size_t givenUp = 0; ///< Number of the others.
};

/// Chooses the largest possible number of jobs that can all start by their latest starts, in the
/// order of priorities and then of latest starts, by the algorithm of Moore and Hodgson ("An n job,
/// one machine sequencing algorithm for minimizing the number of late jobs", 1968): where a job
/// does not fit, the job with the most work that was chosen so far is given up. Three rules differ:
/// a job is never given up for one of a later priority; jobs that have begun, and those that were
/// kept before, are given up less readily; and of the largest tenth of a queue's jobs, and of the
/// fifth below it, the share that is kept is at least 0.6 of the share of all.
triage_decision triageOverload(const std::vector<triage_job> &jobs, const triage_room &room);

} // namespace crocuswind::policy

#endif
