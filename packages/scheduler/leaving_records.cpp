#include "leaving_records.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <set>
#include <sstream>
#include <utility>

namespace crocuswind::scheduler {

namespace {

// Limits the leaving records in a batch so that entries for jobs remain.
constexpr std::size_t maxLeavingRecords = 12;

// Returns true if all tasks that may be on the worker are known and no other task can start there.
bool hasKnownTasks(const scheduler_state &state, const worker_record &worker)
{
    if (state.unreportedWorkers.contains(worker.info.id))
        return state.unreportedWorkers.tasksOn(worker.info.id) != nullptr;
    return worker.info.isDraining && !worker.hasStrayRuns;
}

// Returns the tasks that may have a run on the worker and those with a completion that is not
// durable yet.
std::set<task_name> tasksOn(const scheduler_state &state, const worker_record &worker)
{
    std::set<task_name> tasks;
    if (const auto *inherited = state.unreportedWorkers.tasksOn(worker.info.id))
        tasks = *inherited;
    for (const auto &[name, run] : worker.runs)
        tasks.insert(name);
    for (const auto &[number, name] : worker.completions.unsettled())
        tasks.insert(name);
    return tasks;
}

// Adds the write or the removal of a worker's leaving record. No task is started on a worker with
// such a record until the removal is durable.
void addLeavingRecord(scheduler_state &state, const worker_id &id, commit_batch &batch)
{
    worker_record *worker = state.findWorker(id);
    const bool isLeaving = worker != nullptr && hasKnownTasks(state, *worker);
    if (worker != nullptr && !isLeaving && !worker->mayHaveLeavingRecord)
        return;
    state.committingLeaving[id] = isLeaving;
    if (!isLeaving) {
        batch.removedKeys.push_back(leavingPrefix(state) + id.value);
        return;
    }
    worker->mayHaveLeavingRecord = true;
    std::string text = fmt::format("{}\n", state.epoch);
    for (const task_name &task : tasksOn(state, *worker))
        text += toString(task) + '\n';
    batch.puts.push_back({leavingPrefix(state) + id.value, std::move(text), 0});
}

} // namespace

std::string leavingPrefix(const scheduler_state &state)
{
    return state.settings.keyPrefix + "leaving/";
}

void addLeavingRecords(scheduler_state &state, commit_batch &batch)
{
    for (auto i = state.leavingDue.begin();
         i != state.leavingDue.end() && state.committingLeaving.size() < maxLeavingRecords;) {
        const bool isDue = i->second <= state.now;
        if (isDue)
            addLeavingRecord(state, i->first, batch);
        i = isDue ? state.leavingDue.erase(i) : std::next(i);
    }
}

void finishLeavingRecords(scheduler_state &state)
{
    for (const auto &[id, isLeaving] : state.committingLeaving) {
        if (worker_record *worker = state.findWorker(id)) {
            worker->mayHaveLeavingRecord = isLeaving;
            state.noteWorkerChanged(*worker);
        }
        state.isDispatchWanted = state.isDispatchWanted || !isLeaving;
    }
    state.committingLeaving.clear();
}

void requeueLeavingRecords(scheduler_state &state)
{
    for (const auto &[id, isLeaving] : state.committingLeaving)
        state.scheduleLeavingRecord(id, state.now);
    state.committingLeaving.clear();
}

bool isLeavingRecordDue(const scheduler_state &state)
{
    return std::any_of(state.leavingDue.begin(), state.leavingDue.end(),
                       [&state](const auto &entry) { return entry.second <= state.now; });
}

bool isLeavingRecordPending(const scheduler_state &state, const worker_id &id)
{
    return state.leavingDue.count(id) != 0 || state.committingLeaving.count(id) != 0;
}

void readLeavingRecord(scheduler_state &state, const worker_id &id, const std::string &text,
                       const earlier_authority &authority)
{
    state.scheduleLeavingRecord(id, state.now);
    if (worker_record *worker = state.findWorker(id))
        worker->mayHaveLeavingRecord = true;
    std::set<task_name> tasks;
    std::istringstream lines(text);
    std::string firstLine;
    std::getline(lines, firstLine);
    std::int64_t epoch = 0;
    const char *const end = firstLine.data() + firstLine.size();
    const auto [rest, error] = std::from_chars(firstLine.data(), end, epoch);
    const bool isEpochRead = error == std::errc() && rest == end;
    const std::int64_t lastConfirmed = authority.lastConfirmedEpochBefore(state.epoch);
    const bool isCurrent = isEpochRead && epoch >= lastConfirmed && epoch < state.epoch;
    state.logDetail("leaving_record", [&] {
        return fmt::format("worker={} epoch={} last_confirmed_epoch={} is_current={}", id.value,
                           epoch, lastConfirmed, isCurrent);
    });
    if (!isCurrent)
        return;
    for (std::string line; std::getline(lines, line);) {
        const auto task = parseTaskName(line);
        if (!task)
            return;
        tasks.insert(*task);
    }
    state.unreportedWorkers.limit(id, std::move(tasks));
}

} // namespace crocuswind::scheduler
