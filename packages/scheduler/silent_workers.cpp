#include "silent_workers.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace crocuswind::scheduler {

namespace {

/// Interval at which the list is stored while a worker is silent.
constexpr duration silentListInterval = 1s;

/// A worker that this owner has used is silent after this many failed polls, because the loss of a
/// relay fails one poll of each of its workers. One that has not reported yet is silent after its
/// first failed poll, or this long after the takeover if most others have reported.
constexpr int failedPollsOfSilentWorker = 2;
constexpr duration longestFirstReport = 100ms;
/// It is also silent after one failed poll if its last report is older than this, which is longer
/// than a poll waits at the worker.
constexpr duration longestReportAge = 1500ms;

silent_lease silentLeaseOf(const scheduler_state &state, const worker_record &worker)
{
    const duration timeLeft = std::max(worker.lease.lapsesBy() - state.now, duration::zero());
    silent_lease lease;
    lease.worker = worker.info.id;
    lease.lastEpoch = worker.lease.isGranted() ? state.epoch : worker.lastLeaseEpoch;
    lease.timeLeftMs = std::chrono::ceil<std::chrono::milliseconds>(timeLeft).count();
    return lease;
}

// Returns true if former workers without a report are to count as silent: the next owner would not
// know that this one has granted them nothing. Not while most of a large fleet is still to report.
bool isOutstanding(const scheduler_state &state)
{
    const bool areFew = state.unreportedWorkers.size() * 4 <= state.workers.size();
    return state.isHandingOver || (areFew && state.now - state.tookOverAt >= longestFirstReport);
}

// Returns true if the stored list has to change because of the worker.
bool needsStoring(const scheduler_state &state, const worker_record &worker)
{
    if (isSilent(state, worker)) {
        const bool isTimeLeftDue
            = state.now >= state.nextSilentListAt && !worker.lease.hasLapsed(state.now);
        return !worker.isStoredAsSilent || isTimeLeftDue;
    }
    return worker.isStoredAsSilent && worker.hasReported && worker.failedPolls == 0;
}

} // namespace

bool isSilent(const scheduler_state &state, const worker_record &worker)
{
    if (!worker.hasReported && state.unreportedWorkers.contains(worker.info.id))
        return worker.failedPolls > 0 || worker.isStoredAsSilent || isOutstanding(state);
    return worker.failedPolls >= failedPollsOfSilentWorker
        || (worker.failedPolls > 0 && state.now - worker.lastReportAt >= longestReportAge);
}

void reviewSilentWorkers(scheduler_state &state)
{
    // Without the store no list can be stored, and one in flight would hold back leases of workers
    // that answer again meanwhile.
    if (!state.isStoreAvailable || state.isWorkerListDirty)
        return;
    state.isWorkerListDirty
        = std::any_of(state.workers.begin(), state.workers.end(),
                      [&](const auto &entry) { return needsStoring(state, entry.second); });
}

worker_list takeWorkerList(scheduler_state &state)
{
    worker_list list;
    list.writtenAt = owner_moment{
        state.epoch,
        std::chrono::duration_cast<std::chrono::milliseconds>(state.now.time_since_epoch())
            .count()};
    for (auto &[id, worker] : state.workers) {
        list.workers.push_back({id, worker.info.address});
        if (!isSilent(state, worker))
            continue;
        list.silent.push_back(silentLeaseOf(state, worker));
        if (!std::exchange(worker.isStoredAsSilent, true))
            state.noteWorkerChanged(worker);
    }
    state.nextSilentListAt = state.now + silentListInterval;
    if (!list.silent.empty())
        state.ports.log(
            "silent_workers_stored",
            fmt::format("silent={} workers={} first={} last_lease_epoch={} time_left_ms={}",
                        list.silent.size(), list.workers.size(), list.silent.front().worker.value,
                        list.silent.front().lastEpoch, list.silent.front().timeLeftMs));
    return list;
}

void noteListStored(scheduler_state &state, const worker_list &list)
{
    std::set<worker_id> silent;
    for (const silent_lease &lease : list.silent)
        silent.insert(lease.worker);
    for (const stored_worker &stored : list.workers) {
        worker_record *worker = state.findWorker(stored.id);
        if (worker == nullptr || worker->info.address != stored.address)
            continue;
        const bool wasSilent = worker->isStoredAsSilent;
        const bool wasUsable = worker->isInStoredList && !wasSilent;
        worker->isInStoredList = true;
        worker->isStoredAsSilent = silent.count(stored.id) != 0;
        if (wasUsable || worker->isStoredAsSilent)
            continue;
        if (wasSilent)
            state.bringPollForward(*worker, state.now); // This poll may renew the lease.
        state.noteWorkerChanged(*worker);
        state.isDispatchWanted = true;
    }
}

void restoreWorkers(scheduler_state &state, const worker_list &list,
                    const earlier_authority &authority)
{
    const std::int64_t lastLeaseEpoch = authority.lastConfirmedEpochBefore(state.epoch);
    for (const stored_worker &stored : list.workers) {
        worker_record &worker = state.workers[stored.id];
        worker.info.id = stored.id;
        worker.info.address = stored.address;
        worker.lastLeaseEpoch = lastLeaseEpoch;
        worker.lease.limitLapse(authority.endOf(worker.lastLeaseEpoch));
        state.unreportedWorkers.add(stored.id);
    }
    const instant writtenBy = list.writtenAt
        ? std::min(state.now, authority.latestTimeOf(*list.writtenAt).value_or(state.now))
        : state.now;
    for (const silent_lease &lease : list.silent) {
        worker_record *worker = state.findWorker(lease.worker);
        if (worker == nullptr)
            continue;
        worker->isStoredAsSilent = true;
        worker->lastLeaseEpoch = std::min(lease.lastEpoch, lastLeaseEpoch);
        const instant lapsesBy = writtenBy + std::chrono::milliseconds(lease.timeLeftMs);
        worker->lease.limitLapse(std::min(authority.endOf(worker->lastLeaseEpoch), lapsesBy));
    }
}

} // namespace crocuswind::scheduler
