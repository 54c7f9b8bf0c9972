#include "job.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace crocuswind {

namespace {

template <class value, std::size_t count>
using word_table = std::array<std::pair<value, const char *>, count>;

constexpr word_table<job_kind, 3> kindWords{{{job_kind::finite, "finite"},
                                             {job_kind::continuous, "continuous"},
                                             {job_kind::service, "service"}}};
constexpr word_table<job_urgency, 3> urgencyWords{
    {{job_urgency::low, "low"}, {job_urgency::normal, "normal"}, {job_urgency::high, "high"}}};
constexpr word_table<job_state, 6> jobStateWords{{{job_state::waiting, "waiting"},
                                                  {job_state::running, "running"},
                                                  {job_state::cancelling, "cancelling"},
                                                  {job_state::done, "done"},
                                                  {job_state::failed, "failed"},
                                                  {job_state::cancelled, "cancelled"}}};
constexpr word_table<task_state, 5> taskStateWords{{{task_state::waiting, "waiting"},
                                                    {task_state::claimed, "claimed"},
                                                    {task_state::done, "done"},
                                                    {task_state::failed, "failed"},
                                                    {task_state::cancelled, "cancelled"}}};

template <class value, std::size_t count>
std::string wordOf(const word_table<value, count> &table, value wanted)
{
    for (const auto &[candidate, word] : table) {
        if (candidate == wanted)
            return word;
    }
    CROCUSWIND_INVARIANT(false, "enumerator without a word");
}

template <class value, std::size_t count>
std::optional<value> parseWord(const word_table<value, count> &table, std::string_view text)
{
    for (const auto &[candidate, word] : table) {
        if (text == word)
            return candidate;
    }
    return std::nullopt;
}

} // namespace

findings checkJobSpec(const job_spec &spec, const std::string &source)
{
    // Larger amounts exceed the capacity of any worker and could overflow sums over a fleet.
    constexpr std::int64_t maxAmount = 1'000'000'000;
    constexpr std::int64_t maxRunMs = std::int64_t{366} * 24 * 3600 * 1000;
    findings found;
    const auto require = [&](bool isValid, const std::string &message) {
        if (!isValid)
            found.push_back({{source}, message});
    };
    const auto inRange = [](std::int64_t number, std::int64_t low, std::int64_t high) {
        return number >= low && number <= high;
    };
    require(isValidName(spec.id.team.value), "\"team\" is not a valid name");
    require(isValidName(spec.id.name), "\"name\" is not a valid name");
    require(inRange(spec.size.milliCores, 1, maxAmount), "\"cores\" must be above 0");
    require(inRange(spec.size.memoryMb, 0, maxAmount), "\"memory_mb\" must not be negative");
    require(inRange(spec.size.accelerators, 0, maxAmount), "\"accelerators\" must not be negative");
    require(inRange(spec.runMs, 0, maxRunMs), "\"run_ms\" must be between 0 and a year");
    require(inRange(spec.replicas, 1, maxReplicas),
            fmt::format("\"replicas\" must be between 1 and {}", maxReplicas));
    require(spec.replicas == 1 || spec.kind == job_kind::service,
            "only a service may have more than one replica");
    require(spec.payload.size() <= maxPayloadBytes,
            fmt::format("\"payload\" must not exceed {} bytes", maxPayloadBytes));
    return found;
}

std::string toString(const task_id &id)
{
    return fmt::format("{}#{}:{}", toString(id.job), id.replica, id.attempt);
}

job_state stateOf(const job_record &job)
{
    const auto any = [&job](task_state wanted) {
        return std::any_of(job.tasks.begin(), job.tasks.end(),
                           [wanted](const task_record &t) { return t.state == wanted; });
    };
    if (any(task_state::claimed))
        return job.isCancelled ? job_state::cancelling : job_state::running;
    if (any(task_state::waiting))
        return job.isCancelled ? job_state::cancelled : job_state::waiting;
    if (any(task_state::failed))
        return job_state::failed;
    return any(task_state::cancelled) ? job_state::cancelled : job_state::done;
}

bool isFinished(const job_record &job)
{
    return std::none_of(job.tasks.begin(), job.tasks.end(), [](const task_record &t) {
        return t.state == task_state::waiting || t.state == task_state::claimed;
    });
}

std::string toString(job_kind kind)
{
    return wordOf(kindWords, kind);
}

std::string toString(job_urgency urgency)
{
    return wordOf(urgencyWords, urgency);
}

std::string toString(job_state state)
{
    return wordOf(jobStateWords, state);
}

std::string toString(task_state state)
{
    return wordOf(taskStateWords, state);
}

std::optional<job_kind> parseJobKind(std::string_view text)
{
    return parseWord(kindWords, text);
}

std::optional<job_urgency> parseJobUrgency(std::string_view text)
{
    return parseWord(urgencyWords, text);
}

std::optional<task_state> parseTaskState(std::string_view text)
{
    return parseWord(taskStateWords, text);
}

} // namespace crocuswind
