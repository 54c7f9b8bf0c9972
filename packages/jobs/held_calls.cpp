#include "held_calls.h"

namespace crocuswind {

using scheduler::job_outcome;

namespace {

/// A call that is answered later is held for long.
constexpr duration longHold = 1s;

} // namespace

const char *toString(call_wait wait)
{
    switch (wait) {
    case call_wait::no_owner:
        return "no_owner";
    case call_wait::no_link:
        return "no_link";
    case call_wait::cut_off:
        return "cut_off";
    case call_wait::takeover:
        return "takeover";
    case call_wait::reply:
        break;
    }
    return "reply";
}

const char *toString(job_outcome outcome)
{
    switch (outcome) {
    case job_outcome::accepted:
    case job_outcome::found:
    case job_outcome::cancelled:
    case job_outcome::not_found:
        return "answered";
    case job_outcome::refused:
        return "refused";
    case job_outcome::not_owner:
    case job_outcome::no_answer:
        break;
    }
    return "unknown";
}

void held_calls::note(const scheduler::job_call &call, call_wait wait, job_outcome outcome,
                      duration held)
{
    if (held <= longHold)
        return;
    ++m_counts[{wait, outcome}];
    m_log.detail("event=call_held job={} kind={} wait={} outcome={} held_ms={}", call.name.value,
                 int(call.kind), toString(wait), toString(outcome),
                 std::chrono::duration_cast<std::chrono::milliseconds>(held).count());
}

void held_calls::setMetrics(metrics_registry &metrics) const
{
    std::map<std::pair<std::string, std::string>, std::int64_t> totals;
    for (const auto &[key, count] : m_counts)
        totals[{toString(key.first), toString(key.second)}] += count;
    for (const auto &[key, count] : totals)
        metrics.setTotal("crocuswind_calls_held_total",
                         {{"wait", key.first}, {"outcome", key.second}}, double(count));
}

} // namespace crocuswind
