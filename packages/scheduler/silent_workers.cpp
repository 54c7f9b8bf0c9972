#include "silent_workers.h"

#include "worker_incarnation.h"

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

/// A worker that leaves within this time after the beginning of a hand-over may be gone before the
/// successor polls it.
constexpr duration longestHandover = 3s;

/// A list has at most this many witnesses. The reader needs to hear of one of them.
constexpr std::size_t maxWitnesses = 8;

// Returns true if only earlier owners can have granted the worker a lease that still lasts.
bool isLeaseInherited(const scheduler_state &state, const worker_record &worker)
{
    return state.unreportedWorkers.contains(worker.info.id) && !worker.lease.isGranted()
        && worker.lastLeaseEpoch < state.epoch;
}

// Returns the lease as this owner found it in the store, or null if that may be outdated.
const silent_lease *inheritedLeaseOf(const scheduler_state &state, const worker_record &worker)
{
    return isLeaseInherited(state, worker) ? state.formerList.find(worker.info.id) : nullptr;
}

// Returns the time from now until \p end in milliseconds, rounded up, or 0 if it has passed.
std::int64_t timeLeftMs(const scheduler_state &state, instant end)
{
    const duration timeLeft = std::max(end - state.now, duration::zero());
    return std::chrono::ceil<std::chrono::milliseconds>(timeLeft).count();
}

silent_lease silentLeaseOf(const scheduler_state &state, const worker_record &worker)
{
    silent_lease lease;
    lease.worker = worker.info.id;
    lease.lastEpoch = worker.lease.isGranted() ? state.epoch : worker.lastLeaseEpoch;
    lease.timeLeftMs = timeLeftMs(state, worker.lease.lapsesBy());
    return lease;
}

// Returns true if former workers without a report are to count as silent: the next owner would not
// know that this one has granted them nothing. Not while most of a large fleet is still to report.
bool isOutstanding(const scheduler_state &state)
{
    const bool areFew = state.unreportedWorkers.size() * 4 <= state.workers.size();
    return state.isHandingOver || (areFew && state.now - state.tookOverAt >= longestFirstReport);
}

// Returns true if the worker may leave while the ownership is handed over. The successor has to
// know for how long its lease lasts, which is not renewed meanwhile.
bool leavesDuringHandover(const scheduler_state &state, const worker_record &worker)
{
    return state.isHandingOver && worker.info.leavesAtClockMs && worker.lease.isClockKnown()
        && worker.lease.timeOf(*worker.info.leavesAtClockMs) <= state.now + longestHandover;
}

bool canBeWitness(const worker_record &worker)
{
    return worker.hasReported && worker.failedPolls == 0 && worker.isListed
        && !worker.info.isDraining && worker.incarnationStartUnixMs != 0
        && worker.info.id.value.find_first_of(" \n") == std::string::npos;
}

// Returns witnesses of the present time from all over the fleet.
std::vector<clock_witness> chooseWitnesses(const scheduler_state &state)
{
    std::vector<clock_witness> all;
    for (const auto &[id, worker] : state.workers) {
        const auto clock = worker.clockCeiling.at(state.now);
        if (clock && canBeWitness(worker))
            all.push_back({id, worker.incarnationStartUnixMs, *clock});
    }
    if (all.size() <= maxWitnesses)
        return all;
    std::vector<clock_witness> chosen;
    for (std::size_t i = 0; i < maxWitnesses; ++i)
        chosen.push_back(std::move(all[i * all.size() / maxWitnesses]));
    return chosen;
}

// Returns true if this owner has learnt of a restart of the worker.
bool hasRestarted(const scheduler_state &state, const worker_record &worker)
{
    return worker.lastLeaseEpoch == state.epoch;
}

// An owner that has not heard from a witness cannot tell how old the list is that it found. Returns
// true if it is to store what that list says unchanged, so that a later owner can tell.
bool isCarriedOn(const scheduler_state &state)
{
    return state.formerList.isUndated()
        && std::all_of(state.workers.begin(), state.workers.end(), [&](const auto &entry) {
               const worker_record &worker = entry.second;
               const bool isSilentAsFound
                   = !isSilent(state, worker) || inheritedLeaseOf(state, worker) != nullptr;
               return isSilentAsFound && !hasRestarted(state, worker);
           });
}

std::vector<misdirected_lease> misdirectedLeases(const scheduler_state &state)
{
    std::vector<misdirected_lease> leases;
    for (const auto &[id, worker] : state.workers) {
        if (const auto until = worker.lease.misdirectedUntil())
            leases.push_back({id, timeLeftMs(state, *until)});
    }
    return leases;
}

// Returns the runs on silent workers that may last on incarnations without an answer.
std::vector<unanswered_runs> unansweredRuns(const scheduler_state &state)
{
    std::vector<unanswered_runs> runs;
    for (const auto &[id, worker] : state.workers) {
        const auto end = latestUnheardRunEnd(state, worker);
        if (end && isSilent(state, worker))
            runs.push_back({id, timeLeftMs(state, *end)});
    }
    return runs;
}

// Returns the start of the incarnation that the owner knows, before the first report that of the
// entry, or 0.
std::int64_t knownIncarnation(const worker_record &worker)
{
    return worker.incarnationStartUnixMs != 0 ? worker.incarnationStartUnixMs
                                              : worker.info.incarnationStartUnixMs;
}

owner_moment presentMoment(const scheduler_state &state)
{
    const auto clock = state.now.time_since_epoch();
    return {state.epoch, std::chrono::duration_cast<std::chrono::milliseconds>(clock).count()};
}

// Returns true if the stored list has to change because of the worker.
bool needsStoring(const scheduler_state &state, const worker_record &worker)
{
    const auto misdirectedUntil = worker.lease.misdirectedUntil();
    if (misdirectedUntil && (state.now >= state.nextSilentListAt || state.now > *misdirectedUntil))
        return true;
    if (isSilent(state, worker)) {
        const bool mayHaveRuns
            = !worker.lease.hasLapsed(state.now) || latestUnheardRunEnd(state, worker);
        const bool isTimeLeftDue = state.now >= state.nextSilentListAt && mayHaveRuns;
        return !worker.isStoredAsSilent || isTimeLeftDue;
    }
    return worker.isStoredAsSilent && worker.hasReported && worker.failedPolls == 0;
}

} // namespace

bool isSilent(const scheduler_state &state, const worker_record &worker)
{
    if (!worker.hasReported && state.unreportedWorkers.contains(worker.info.id))
        return worker.failedPolls > 0 || worker.isStoredAsSilent || isOutstanding(state);
    if (leavesDuringHandover(state, worker))
        return true;
    return worker.failedPolls >= failedPollsOfSilentWorker
        || (worker.failedPolls > 0 && state.now - worker.lastReportAt >= longestReportAge);
}

bool isMisdirectedLeaseUnstored(const scheduler_state &state)
{
    return state.isWorkerListDirty
        && std::any_of(state.workers.begin(), state.workers.end(), [](const auto &entry) {
               return entry.second.lease.misdirectedUntil().has_value();
           });
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
    const bool isCarried = isCarriedOn(state);
    list.writtenAt = isCarried ? state.formerList.writtenAt() : presentMoment(state);
    for (auto &[id, worker] : state.workers) {
        list.workers.push_back({id, worker.info.address, knownIncarnation(worker)});
        worker.lease.dropLapsedMisdirected(state.now);
        if (!isSilent(state, worker))
            continue;
        list.silent.push_back(isCarried ? *inheritedLeaseOf(state, worker)
                                        : silentLeaseOf(state, worker));
        if (!std::exchange(worker.isStoredAsSilent, true))
            state.noteWorkerChanged(worker);
    }
    list.misdirected = isCarried ? state.formerList.misdirected() : misdirectedLeases(state);
    list.unanswered = isCarried ? state.formerList.unanswered() : unansweredRuns(state);
    state.nextSilentListAt = state.now + silentListInterval;
    if (list.silent.empty() && list.misdirected.empty())
        return list;
    list.witnesses = isCarried ? state.formerList.witnesses() : chooseWitnesses(state);
    if (list.silent.empty())
        return list;
    list.namesUnanswered = !isCarried || state.formerList.namesUnanswered();
    state.ports.log("silent_workers_stored",
                    fmt::format("silent={} workers={} first={} last_lease_epoch={} time_left_ms={} "
                                "witnesses={} is_carried_on={}",
                                list.silent.size(), list.workers.size(),
                                list.silent.front().worker.value, list.silent.front().lastEpoch,
                                list.silent.front().timeLeftMs, list.witnesses.size(), isCarried));
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
        const bool wasOther
            = std::exchange(worker->storedIncarnationStartUnixMs, stored.incarnationStartUnixMs)
            != stored.incarnationStartUnixMs;
        worker->isStoredAsSilent = silent.count(stored.id) != 0;
        if ((wasUsable && !wasOther) || worker->isStoredAsSilent)
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
        worker.incarnationStartUnixMs = stored.incarnationStartUnixMs;
        worker.storedIncarnationStartUnixMs = stored.incarnationStartUnixMs;
        worker.lastLeaseEpoch = lastLeaseEpoch;
        const instant authorityEnd = authority.endOf(worker.lastLeaseEpoch);
        worker.lease.limitLapse(authorityEnd);
        // No command is sent in the last second of an authority, so that none is carried out later
        // unless it is held up on its way.
        if (lastLeaseEpoch > 0)
            worker.unheardUntil = longestRunEnd(state, authorityEnd);
        state.unreportedWorkers.add(stored.id);
    }
    const instant writtenBy = list.writtenAt
        ? std::min(state.now, authority.latestTimeOf(*list.writtenAt).value_or(state.now))
        : state.now;
    state.formerList = former_list(list, writtenBy);
    // Workers shorten all leases, so that none ends later than this.
    const instant latestEnd = longestRunEnd(state, state.now);
    for (const misdirected_lease &lease : list.misdirected) {
        if (worker_record *worker = state.findWorker(lease.worker))
            worker->lease.limitMisdirectedLapse(
                std::min(state.formerList.lapseOf(lease), latestEnd));
    }
    for (const silent_lease &lease : list.silent) {
        worker_record *worker = state.findWorker(lease.worker);
        if (worker == nullptr)
            continue;
        worker->isStoredAsSilent = true;
        worker->lastLeaseEpoch = std::min(lease.lastEpoch, lastLeaseEpoch);
        worker->lease.limitLapse(
            std::min(authority.endOf(worker->lastLeaseEpoch), state.formerList.lapseOf(lease)));
        if (list.namesUnanswered)
            worker->unheardUntil.reset();
    }
    for (const unanswered_runs &runs : list.unanswered) {
        worker_record *worker = state.findWorker(runs.worker);
        if (worker == nullptr)
            continue;
        const instant authorityEnd = authority.endOf(worker->lastLeaseEpoch);
        const instant lastCommandAt
            = authorityEnd == instant::max() ? authorityEnd : authorityEnd + lateCommandLimit;
        worker->unheardUntil
            = std::min(state.formerList.endOf(runs), longestRunEnd(state, lastCommandAt));
    }
}

void limitInheritedLeases(scheduler_state &state, const worker_record &witness,
                          std::int64_t clockMs)
{
    const bool wasUndated = state.formerList.isUndated();
    if (!state.formerList.noteClock(witness.info.id, witness.incarnationStartUnixMs, clockMs,
                                    state.now))
        return;
    if (wasUndated) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
            state.now - state.formerList.writtenBy());
        state.ports.log("former_list_dated",
                        fmt::format("witness={} silent={} age_ms={}", witness.info.id.value,
                                    state.formerList.silent().size(), age.count()));
    }
    for (const auto &[id, lease] : state.formerList.silent()) {
        worker_record *worker = state.findWorker(id);
        if (worker != nullptr && isLeaseInherited(state, *worker))
            worker->lease.tightenLapse(state.formerList.lapseOf(lease));
    }
    for (const unanswered_runs &runs : state.formerList.unanswered()) {
        worker_record *worker = state.findWorker(runs.worker);
        if (worker != nullptr && worker->unheardUntil)
            worker->unheardUntil = std::min(*worker->unheardUntil, state.formerList.endOf(runs));
    }
    for (const misdirected_lease &lease : state.formerList.misdirected()) {
        worker_record *found = state.findWorker(lease.worker);
        if (found != nullptr && !hasRestarted(state, *found))
            found->lease.tightenMisdirectedLapse(state.formerList.lapseOf(lease));
    }
}

} // namespace crocuswind::scheduler
