/// Keeps the stored list of workers up to date on those that do not answer, so that owners that
/// follow each other wait only once for the lease of such a worker. Private to the package.
#ifndef CROCUSWIND_SCHEDULER_SILENT_WORKERS_H
#define CROCUSWIND_SCHEDULER_SILENT_WORKERS_H

#include "scheduler_state.h"
#include "worker_list.h"

namespace crocuswind::scheduler {

/// Returns true if the worker does not answer this owner, or may leave before the successor of an
/// owner that hands over can ask it. It remains silent when its lease has
/// lapsed and its runs are given up, so that a later owner need not wait for it either.
bool isSilent(const scheduler_state &state, const worker_record &worker);

/// Returns true if the list to be stored names a lease by commands meant for an earlier incarnation
/// of a worker. A later owner that does not know of it may start tasks of that worker too early.
bool isMisdirectedLeaseUnstored(const scheduler_state &state);

/// Has the list of workers stored when a worker has become silent, when one that is stored as
/// silent answers again, and at intervals while the lease of a silent one or one by commands meant
/// for an earlier incarnation lasts.
void reviewSilentWorkers(scheduler_state &state);

/// Returns the list of workers to store now. The workers that it names as silent get no lease from
/// then on, because the list may become durable.
worker_list takeWorkerList(scheduler_state &state);

/// Records that \p list is durable.
void noteListStored(scheduler_state &state, const worker_list &list);

/// Restores the workers of an earlier owner, none of which has reported yet. Leases granted by
/// earlier owners end with their authority at the latest.
void restoreWorkers(scheduler_state &state, const worker_list &list,
                    const earlier_authority &authority);

/// A witness of the list that this owner found has reported this reading of its clock. Bounds the
/// leases of the workers that the list names as silent.
void limitInheritedLeases(scheduler_state &state, const worker_record &witness,
                          std::int64_t clockMs);

} // namespace crocuswind::scheduler

#endif
