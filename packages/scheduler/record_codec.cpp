#include "record_codec.h"

#include "cbor_values.h"

#include <algorithm>
#include <utility>

namespace crocuswind::scheduler {

namespace {

using namespace cbor_values;

// Values of a policy beyond these bounds would overflow the objective of a job.
constexpr double maxStretch = 1000;
constexpr std::int64_t maxObjectiveSlackMs = 100'000'000'000;

// Fields are stored as arrays in a fixed order to keep the records small. New fields may be added
// at the end only.
json toJson(const step_spec &s)
{
    return json::array({s.count, s.size.milliCores, s.size.memoryMb, s.size.accelerators,
                        s.expectedRunMs, s.after, s.savesProgress, s.isGang, s.wantsOneRack,
                        s.requiredLabel, s.dataRack.value, s.maxPerWorker, s.allowsDuplicates,
                        s.isContinuous, s.image, s.latencyTargetMs, s.isBestEffort,
                        s.maxUnavailable});
}

step_spec stepFromJson(const json &j)
{
    step_spec s;
    std::size_t i = 0;
    const auto next = [&](auto &value) { read(j.at(i++), value); };
    next(s.count);
    next(s.size.milliCores);
    next(s.size.memoryMb);
    next(s.size.accelerators);
    next(s.expectedRunMs);
    next(s.after);
    next(s.savesProgress);
    next(s.isGang);
    next(s.wantsOneRack);
    next(s.requiredLabel);
    next(s.dataRack.value);
    next(s.maxPerWorker);
    next(s.allowsDuplicates);
    next(s.isContinuous);
    next(s.image);
    next(s.latencyTargetMs);
    next(s.isBestEffort);
    next(s.maxUnavailable);
    return s;
}

json toJson(const job_spec &spec)
{
    json steps = json::array();
    for (const step_spec &step : spec.steps)
        steps.push_back(toJson(step));
    return json::array({spec.name.value, spec.queue.value, spec.payload, std::move(steps),
                        spec.scheduledOccurrences, spec.firstDueUnixMs, spec.periodMs});
}

job_spec specFromJson(const json &j)
{
    job_spec spec;
    read(j.at(0), spec.name.value);
    read(j.at(1), spec.queue.value);
    read(j.at(2), spec.payload);
    for (const json &step : j.at(3))
        spec.steps.push_back(stepFromJson(step));
    read(j.at(4), spec.scheduledOccurrences);
    read(j.at(5), spec.firstDueUnixMs);
    read(j.at(6), spec.periodMs);
    return spec;
}

// The queue is part of the specification, and jobs of queues that need advice are not accepted.
json toJson(const queue_policy &policy)
{
    return json::array({policy.service.value, policy.attemptLimit, policy.priority, policy.stretch,
                        policy.objectiveSlackMs});
}

queue_policy policyFromJson(const json &j, const queue_id &queue)
{
    queue_policy policy;
    policy.queue = queue;
    read(j.at(0), policy.service.value);
    read(j.at(1), policy.attemptLimit);
    read(j.at(2), policy.priority);
    read(j.at(3), policy.stretch);
    read(j.at(4), policy.objectiveSlackMs);
    policy.attemptLimit = std::max(1, policy.attemptLimit);
    policy.stretch = std::clamp(policy.stretch, 0.0, maxStretch);
    policy.objectiveSlackMs
        = std::clamp(policy.objectiveSlackMs, std::int64_t(0), maxObjectiveSlackMs);
    return policy;
}

// Returns true if nothing but the success of the task has to be stored.
bool isPlainSuccess(const task_state &task)
{
    return task.phase == task_phase::done && task.failedRuns.empty() && task.checkpoint.empty();
}

bool needsRow(const step_spec &step, const task_state &task)
{
    return !isPlainSuccess(task)
        && (task.phase == task_phase::done || !task.failedRuns.empty() || !task.checkpoint.empty()
            || (step.isContinuous && task.hasBegun));
}

// Appends the plain successes of a step as ranges `[step, first, count]`. With a row for each task,
// the records of wide steps filled the link to the store.
void addSuccesses(const std::vector<task_state> &tasks, std::size_t step, json &ranges)
{
    for (std::size_t first = 0; first < tasks.size(); ++first) {
        if (!isPlainSuccess(tasks[first]))
            continue;
        const auto end
            = std::find_if_not(tasks.begin() + std::ptrdiff_t(first), tasks.end(), isPlainSuccess);
        const auto count = std::size_t(end - tasks.begin()) - first;
        ranges.push_back(json::array({step, first, count}));
        first += count;
    }
}

// An occurrence is `[number, rows, ranges]`; a row is
// `[step, index, isDone, failedRuns, checkpoint, countedRun]`. A row tells that the task has begun.
json toJson(const std::vector<step_spec> &steps, const occurrence_state &occurrence)
{
    json rows = json::array();
    json ranges = json::array();
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto &tasks = occurrence.steps[s];
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            const task_state &task = tasks[i];
            if (needsRow(steps[s], task))
                rows.push_back(json::array({s, i, task.phase == task_phase::done, task.failedRuns,
                                            task.checkpoint, task.countedRun}));
        }
        addSuccesses(tasks, s, ranges);
    }
    return json::array({occurrence.number, std::move(rows), std::move(ranges)});
}

void readRow(const json &row, job_record &job, occurrence_state &occurrence)
{
    task_state *task = job.find(
        {job.spec.name, occurrence.number, readAs<int>(row.at(0)), readAs<int>(row.at(1))});
    if (task == nullptr)
        return;
    if (row.at(2).get<bool>())
        task->phase = task_phase::done;
    read(row.at(3), task->failedRuns);
    read(row.at(4), task->checkpoint);
    read(row.at(5), task->countedRun);
    task->lastRun = task->countedRun;
    task->hasBegun = true;
    occurrence.hasStarted = true;
}

void readSuccesses(const json &range, occurrence_state &occurrence)
{
    const auto step = readAs<std::size_t>(range.at(0));
    const auto first = readAs<std::size_t>(range.at(1));
    const auto count = readAs<std::size_t>(range.at(2));
    if (step >= occurrence.steps.size())
        return;
    auto &tasks = occurrence.steps[step];
    for (std::size_t i = first; i < tasks.size() && i - first < count; ++i) {
        tasks[i].phase = task_phase::done;
        occurrence.hasStarted = true;
    }
}

void readOccurrence(const json &j, job_record &job)
{
    const int number = readAs<int>(j.at(0));
    if (number < 0 || number >= job.occurrenceCount())
        return;
    // Earlier builds wrote all occurrences of a repeated job, most of them without any progress.
    const bool hasProgress = !j.at(1).empty() || (j.size() > 2 && !j.at(2).empty());
    if (job.spec.scheduledOccurrences > 0 && !hasProgress)
        return;
    const auto [found, isNew] = job.occurrences.try_emplace(number);
    if (isNew)
        found->second = newOccurrence(job.spec, number, instant());
    for (const json &row : j.at(1))
        readRow(row, job, found->second);
    // Records of earlier builds have no ranges.
    if (j.size() <= 2)
        return;
    for (const json &range : j.at(2))
        readSuccesses(range, found->second);
}

} // namespace

std::string encodeAcceptance(const job_record &job)
{
    json fields = json::array({toJson(job.spec), job.acceptedUnixMs});
    if (job.acceptedPolicy)
        fields.push_back(toJson(*job.acceptedPolicy));
    return toBytes(fields);
}

std::optional<job_record> decodeAcceptance(std::string_view bytes)
{
    return decode<job_record>(bytes, [](const json &j) {
        job_record job;
        job.spec = specFromJson(j.at(0));
        read(j.at(1), job.acceptedUnixMs);
        // Records of earlier builds have no policy.
        if (j.size() > 2)
            job.acceptedPolicy = policyFromJson(j.at(2), job.spec.queue);
        return job;
    });
}

std::string encodeProgress(const job_record &job)
{
    json occurrences = json::array();
    // A later owner does not need the tasks of a job that is over.
    if (!job.isOver()) {
        for (const auto &[number, occurrence] : job.occurrences)
            occurrences.push_back(toJson(job.spec.steps, occurrence));
    }
    return toBytes(
        json::array({job.spec.queue.value, job.isCancelled, job.isFailed, job.finishedUnixMs,
                     job.occurrencesDone, job.doneLater, std::move(occurrences)}));
}

bool decodeProgress(std::string_view bytes, job_record &job)
{
    const auto isRead = decode<bool>(bytes, [&job](const json &j) {
        read(j.at(0), job.spec.queue.value);
        read(j.at(1), job.isCancelled);
        read(j.at(2), job.isFailed);
        read(j.at(3), job.finishedUnixMs);
        read(j.at(4), job.occurrencesDone);
        read(j.at(5), job.doneLater);
        for (const json &occurrence : j.at(6))
            readOccurrence(occurrence, job);
        return true;
    });
    return isRead.value_or(false);
}

std::string encodeCall(const job_call &call)
{
    return toBytes(json::array({call.token, int(call.kind), call.name.value, call.queue.value,
                                call.spec ? toJson(*call.spec) : json(), call.timeLeftMs}));
}

std::optional<job_call> decodeCall(std::string_view bytes)
{
    return decode<job_call>(bytes, [](const json &j) {
        job_call call;
        read(j.at(0), call.token);
        call.kind = job_call_kind(readAs<int>(j.at(1)));
        read(j.at(2), call.name.value);
        read(j.at(3), call.queue.value);
        if (!j.at(4).is_null())
            call.spec = specFromJson(j.at(4));
        read(j.at(5), call.timeLeftMs);
        return call;
    });
}

std::string encodeReply(const job_reply &reply)
{
    return toBytes(json::array({reply.token, int(reply.outcome), int(reply.status),
                                reply.waitingJobs, reply.reason, reply.retryAfterMs}));
}

std::optional<job_reply> decodeReply(std::string_view bytes)
{
    return decode<job_reply>(bytes, [](const json &j) {
        job_reply reply;
        read(j.at(0), reply.token);
        reply.outcome = job_outcome(readAs<int>(j.at(1)));
        reply.status = job_status(readAs<int>(j.at(2)));
        read(j.at(3), reply.waitingJobs);
        read(j.at(4), reply.reason);
        read(j.at(5), reply.retryAfterMs);
        return reply;
    });
}

} // namespace crocuswind::scheduler
