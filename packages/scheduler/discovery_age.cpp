#include "discovery_age.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crocuswind::scheduler {

namespace {

// Formats the age of the list for a log field. A new owner does not know it until service discovery
// has delivered its first update.
std::string ageText(const scheduler_state &state)
{
    if (state.workersAsOf == instant())
        return "unknown";
    const duration age = state.now - state.workersAsOf;
    return fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

} // namespace

bool areWorkersOutdated(const scheduler_state &state)
{
    // While the store does not answer, workers cannot give notice either. That says nothing of a
    // list that was too old before: the answers may only wait to be read by this host.
    const instant mayHaveChangedUntil = state.isStoreAvailable ? state.now : state.storeSilentSince;
    return mayHaveChangedUntil - state.workersAsOf > state.settings.longestWorkersAge;
}

bool holdsStarts(scheduler_state &state)
{
    const bool isOutdated = areWorkersOutdated(state);
    if (isOutdated && !std::exchange(state.areStartsHeld, true))
        state.ports.log("starts_held", "workers_age_ms=" + ageText(state));
    return isOutdated;
}

void noteWorkersSynchronized(scheduler_state &state, instant asOf)
{
    const std::string age = state.areStartsHeld ? ageText(state) : std::string();
    state.workersAsOf = std::max(state.workersAsOf, asOf);
    if (!state.areStartsHeld || areWorkersOutdated(state))
        return;
    state.areStartsHeld = false;
    state.isDispatchWanted = true;
    state.nextDispatchAt = state.now;
    state.ports.log("starts_resumed", "workers_age_ms=" + age);
}

} // namespace crocuswind::scheduler
