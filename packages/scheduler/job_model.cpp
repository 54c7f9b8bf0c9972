#include "job_model.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace crocuswind::scheduler {

namespace {

bool isWithin(std::int64_t value, std::int64_t highest)
{
    return value >= 0 && value <= highest;
}

void checkStep(const job_spec &spec, int number, const std::string &source, findings &found)
{
    const step_spec &step = spec.steps[std::size_t(number)];
    const auto report = [&](const std::string &message) {
        found.push_back({{source, 0, 0}, fmt::format("step {}: {}", number, message)});
    };
    if (step.count < 1 || step.count > maxTasksOfStep)
        report(fmt::format("the count must be 1 to {}", maxTasksOfStep));
    for (std::int64_t amount : {step.size.milliCores, step.size.memoryMb, step.size.accelerators}) {
        if (!isWithin(amount, maxAmountOfTask))
            report(fmt::format("sizes must be 0 to {}", maxAmountOfTask));
    }
    if (!isWithin(step.expectedRunMs, maxSpanMs) || !isWithin(step.latencyTargetMs, maxSpanMs))
        report(fmt::format("times must be 0 to {} ms", maxSpanMs));
    if (step.maxPerWorker < 0 || step.maxUnavailable < 0)
        report("bounds on numbers of tasks must not be negative");
    const bool dependsOnLater = std::any_of(step.after.begin(), step.after.end(),
                                            [number](int s) { return s < 0 || s >= number; });
    if (dependsOnLater)
        report("only earlier steps may be waited for");
}

std::int64_t tasksOfOccurrence(const job_spec &spec)
{
    std::int64_t sum = 0;
    for (const step_spec &step : spec.steps)
        sum += step.count;
    return sum;
}

bool hasContinuousStep(const job_spec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(),
                       [](const step_spec &step) { return step.isContinuous; });
}

bool parseNumber(std::string_view text, int &number)
{
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && rest == end && number >= 0;
}

} // namespace

resources reservedBy(const step_spec &step)
{
    resources reserved = step.size;
    if (step.isBestEffort)
        reserved.milliCores = 0;
    return reserved;
}

findings checkJob(const job_spec &spec, const std::string &source)
{
    findings found;
    if (spec.name.empty())
        found.push_back({{source, 0, 0}, "the job has no name"});
    if (spec.payload.size() > maxPayloadBytes)
        found.push_back(
            {{source, 0, 0}, fmt::format("the payload exceeds {} bytes", maxPayloadBytes)});
    if (spec.steps.empty() || spec.steps.size() > std::size_t(maxSteps))
        found.push_back({{source, 0, 0}, fmt::format("a job has 1 to {} steps", maxSteps)});
    if (spec.scheduledOccurrences < 0 || spec.scheduledOccurrences > maxRepetitions)
        found.push_back(
            {{source, 0, 0}, fmt::format("repetitions must be 0 to {}", maxRepetitions)});
    if (!isWithin(spec.firstDueUnixMs, maxUnixMs) || !isWithin(spec.periodMs, maxSpanMs))
        found.push_back({{source, 0, 0},
                         fmt::format("due times must be 0 to {} ms, {} ms apart at most", maxUnixMs,
                                     maxSpanMs)});
    for (int i = 0; i < int(spec.steps.size()); ++i)
        checkStep(spec, i, source, found);
    return found;
}

findings checkNewJob(const job_spec &spec, const std::string &source)
{
    findings found = checkJob(spec, source);
    if (!found.empty())
        return found;
    const int repetitions = hasContinuousStep(spec) ? std::max(1, spec.scheduledOccurrences) : 1;
    const std::int64_t tasks = tasksOfOccurrence(spec) * repetitions;
    if (tasks > maxTasksAtOnce)
        found.push_back({{source, 0, 0},
                         fmt::format("the job has {} tasks at once, more than the {} that can be "
                                     "held",
                                     tasks, maxTasksAtOnce)});
    return found;
}

int maxOverlap(const job_spec &spec)
{
    if (hasContinuousStep(spec))
        return std::max(1, spec.scheduledOccurrences);
    const std::int64_t tasks = std::max<std::int64_t>(1, tasksOfOccurrence(spec));
    return int(std::max<std::int64_t>(1, maxTasksOfOverlap / tasks));
}

std::optional<std::string> unsupportedFeature(const job_spec &spec)
{
    for (const step_spec &step : spec.steps) {
        if (step.isGang)
            return "gangs are not supported yet";
    }
    return std::nullopt;
}

std::string toString(const task_name &name)
{
    return fmt::format("{}.{}.{}.{}", name.job.value, name.occurrence, name.step, name.index);
}

std::optional<task_name> parseTaskName(std::string_view text)
{
    task_name name;
    for (int *part : {&name.index, &name.step, &name.occurrence}) {
        const std::size_t dot = text.rfind('.');
        if (dot == std::string_view::npos || !parseNumber(text.substr(dot + 1), *part))
            return std::nullopt;
        text = text.substr(0, dot);
    }
    if (text.empty())
        return std::nullopt;
    name.job.value = std::string(text);
    return name;
}

std::vector<std::int64_t> computeCriticalPathsMs(const job_spec &spec)
{
    std::vector<std::int64_t> runMs;
    runMs.reserve(spec.steps.size());
    for (const step_spec &step : spec.steps)
        runMs.push_back(step.expectedRunMs);
    return computeCriticalPathsMs(spec, runMs);
}

std::vector<std::int64_t> computeCriticalPathsMs(const job_spec &spec,
                                                 const std::vector<std::int64_t> &runMs)
{
    std::vector<std::int64_t> paths(spec.steps.size());
    for (std::size_t step = spec.steps.size(); step-- > 0;) {
        paths[step] += runMs[step];
        for (int earlier : spec.steps[step].after) {
            std::int64_t &path = paths[std::size_t(earlier)];
            path = std::max(path, paths[step]);
        }
    }
    return paths;
}

} // namespace crocuswind::scheduler
