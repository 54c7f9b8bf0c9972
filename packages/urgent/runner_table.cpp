#include "runner_table.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Weight of a sample in the averages of a service, which cover many runners.
constexpr double serviceSampleWeight = 0.05;

/// At or above this failure rate of a service, the cause is not a single runner, and ejections
/// would only reduce capacity.
constexpr double serviceFailureRateLimit = 0.5;

} // namespace

runner_table::runner_table(routing_kind routing, std::uint64_t seed)
    : m_routing(routing)
    , m_seed(seed)
{ }

std::size_t runner_table::addService(const service_id &service)
{
    const auto [entry, isNew] = m_serviceByName.emplace(service, m_services.size());
    if (isNew) {
        m_services.emplace_back();
        m_services.back().name = service;
        m_services.back().policy = makeRoutingPolicy(m_routing, m_seed);
    }
    return entry->second;
}

std::optional<std::size_t> runner_table::findService(const service_id &service) const
{
    const auto found = m_serviceByName.find(service);
    if (found == m_serviceByName.end())
        return std::nullopt;
    return found->second;
}

void runner_table::expectServiceTime(std::size_t service, duration expected)
{
    if (!m_services[service].isMeasured)
        m_services[service].serviceTime = double(expected.count());
}

std::size_t runner_table::addRunner(const runner_listing &listing)
{
    std::size_t number = m_runners.size();
    if (m_freeNumbers.empty()) {
        m_runners.emplace_back();
    } else {
        number = m_freeNumbers.back();
        m_freeNumbers.pop_back();
        m_runners[number] = runner_state();
    }
    runner_state &r = m_runners[number];
    r.name = listing.runner;
    r.isInUse = true;
    r.service = addService(listing.service);
    r.health.assumeServiceTime(m_services[r.service].serviceTime);
    m_byName.emplace(r.name, number);
    return number;
}

void runner_table::updateListings(instant now, const std::vector<runner_listing> &listings)
{
    std::set<std::size_t> listedRunners;
    for (const runner_listing &l : listings) {
        const auto found = m_byName.find(l.runner);
        const std::size_t number = found == m_byName.end() ? addRunner(l) : found->second;
        runner_state &r = m_runners[number];
        // The service of a runner record never changes. If the runner is listed for another
        // service, the listing is ignored until the old record has been freed.
        if (m_services[r.service].name != l.service)
            continue;
        listedRunners.insert(number);
        r.isListed = true;
        r.slots = std::max(l.slots, 0);
        r.connections = std::max(l.connections, 0);
        r.leaving.updateFromList(now, l.isLeaving);
        r.health.decay(now, m_services[r.service].serviceTime);
    }
    for (std::size_t number = 0; number < m_runners.size(); ++number) {
        runner_state &r = m_runners[number];
        if (!r.isInUse || listedRunners.count(number) != 0)
            continue;
        r.isListed = false;
        r.leaving.markUnlisted();
    }
    for (std::size_t number = 0; number < m_runners.size(); ++number) {
        if (m_runners[number].isInUse)
            refresh(number);
    }
}

void runner_table::reportLoads(const std::vector<std::pair<runner_id, double>> &loads)
{
    for (const auto &[runner, load] : loads) {
        const auto found = m_byName.find(runner);
        if (found == m_byName.end())
            continue;
        m_runners[found->second].reportedLoad = load;
        refresh(found->second);
    }
}

void runner_table::applyShare(instant now, const capacity_share &share)
{
    const bool mayDispatch = share.mayDispatch(now);
    for (std::size_t number = 0; number < m_runners.size(); ++number) {
        runner_state &r = m_runners[number];
        if (!r.isInUse)
            continue;
        r.slotLimit = mayDispatch ? share.shareOf(r.slots, r.name) : 0;
        r.connectionLimit = mayDispatch ? share.shareOf(r.connections, r.name) : 0;
        r.takenAtLimitChange = r.taken;
        refresh(number);
    }
}

std::optional<std::size_t> runner_table::choose(std::size_t service, instant now,
                                                random_source &random,
                                                std::optional<std::size_t> avoid, probe_use probe,
                                                bool reserveBest)
{
    service_state &s = m_services[service];
    if (probe != probe_use::none) {
        for (std::size_t number : s.probeDue) {
            const runner_state &r = m_runners[number];
            if (hasCapacity(r) && (probe == probe_use::any || r.health.isProbeHarmless(now)))
                return number;
        }
    }
    return s.policy->choose(random, avoid, reserveBest);
}

void runner_table::take(std::size_t runner)
{
    runner_state &r = m_runners[runner];
    CROCUSWIND_INVARIANT(hasCapacity(r) && isPresent(r),
                         fmt::format("{}: {} of {} slots and {} of {} connections are taken",
                                     r.name.value, r.taken, r.slotLimit, r.connected,
                                     r.connectionLimit));
    ++r.taken;
    ++r.connected;
    if (r.health.currentStatus() != runner_health::status::healthy)
        r.health.beginProbe();
    refresh(runner);
}

void runner_table::releaseConnection(std::size_t runner)
{
    runner_state &r = m_runners[runner];
    CROCUSWIND_INVARIANT(r.connected > 0, r.name.value);
    --r.connected;
    refresh(runner);
}

void runner_table::releaseSlot(std::size_t runner)
{
    runner_state &r = m_runners[runner];
    CROCUSWIND_INVARIANT(r.taken > 0, r.name.value);
    --r.taken;
    r.takenAtLimitChange = std::min(r.takenAtLimitChange, r.taken);
    refresh(runner);
}

bool runner_table::mayEject(const service_state &service) const
{
    return (service.ejected + 1) * 2 <= service.listed
        && service.failureRate < serviceFailureRateLimit;
}

std::optional<instant> runner_table::observe(std::size_t runner, instant now,
                                             runner_result::kind result, duration took,
                                             bool isLeaving, random_source &random,
                                             std::string *log)
{
    using status = runner_health::status;
    runner_state &r = m_runners[runner];
    service_state &s = m_services[r.service];
    std::optional<instant> probeAt;
    const status before = r.health.currentStatus();
    if (isLeaving && !r.leaving.isLeaving()) {
        r.leaving.markLeaving(now);
        *log = fmt::format("runner {} reports that it is leaving", r.name.value);
    }
    if (result == runner_result::kind::answered) {
        s.serviceTime += serviceSampleWeight * (double(took.count()) - s.serviceTime);
        s.isMeasured = true;
        s.failureRate *= 1 - serviceSampleWeight;
        r.health.recordSuccess(now, took);
        if (before != status::healthy)
            *log = fmt::format("runner {} is healthy again", r.name.value);
    } else if (isLeaving) {
        // A leaving runner refuses requests by design, so this is not counted as a failure.
        r.health.endProbe();
    } else {
        const bool hasStarted
            = result == runner_result::kind::no_answer || result == runner_result::kind::failed;
        s.failureRate += serviceSampleWeight * (1 - s.failureRate);
        r.health.recordFailure(now, took, hasStarted);
        if (result == runner_result::kind::not_connected)
            probeAt = r.health.eject(now, status::unreachable, random);
        else if (before != status::healthy && r.health.isProbing())
            probeAt = r.health.eject(now, before, random);
        else if (before == status::healthy && r.health.isFailing() && mayEject(s))
            probeAt = r.health.eject(now, status::ejected, random);
        if (probeAt && before == status::healthy)
            *log = fmt::format("runner {} ejected: {}", r.name.value,
                               r.health.currentStatus() == status::ejected
                                   ? "too many attempts failed"
                                   : "connection refused");
    }
    s.probeDue.erase(runner);
    refresh(runner);
    return probeAt;
}

void runner_table::observeCancelled(std::size_t runner)
{
    m_runners[runner].health.endProbe();
    refresh(runner);
}

void runner_table::startProbing(std::size_t runner, instant now)
{
    if (runner >= m_runners.size() || !m_runners[runner].isInUse)
        return;
    const runner_state &r = m_runners[runner];
    if (r.health.currentStatus() != runner_health::status::healthy && !r.health.isProbing()
        && now >= r.health.probeAt() && isPresent(r))
        m_services[r.service].probeDue.insert(runner);
}

void runner_table::refresh(std::size_t runner)
{
    runner_state &r = m_runners[runner];
    service_state &s = m_services[r.service];
    const bool isHealthy
        = isPresent(r) && r.health.currentStatus() == runner_health::status::healthy;
    const bool isEligible = isHealthy && hasCapacity(r);
    s.policy->update(
        runner,
        {isEligible, r.taken, r.reportedLoad, r.health.serviceTime(), r.health.failureRate()});
    if (!isPresent(r) || r.health.isProbing() || isHealthy)
        s.probeDue.erase(runner);
    const int slots = isHealthy ? r.slotLimit : 0;
    const int free = isEligible ? r.slotLimit - r.taken : 0;
    s.slots += slots - r.countedSlots;
    s.freeSlots += free - r.countedFree;
    r.countedSlots = slots;
    r.countedFree = free;
    const int status = isPresent(r) ? 1 + int(r.health.currentStatus()) : 0;
    if (status != r.countedStatus) {
        r.countedStatus = status;
        recount(r.service);
    }
    if (!r.isListed && r.taken == 0 && r.connected == 0) {
        m_byName.erase(r.name);
        r.isInUse = false;
        m_freeNumbers.push_back(runner);
    }
}

void runner_table::recount(std::size_t service)
{
    service_state &s = m_services[service];
    s.listed = s.ejected = 0;
    for (const runner_state &r : m_runners) {
        if (!r.isInUse || r.service != service || !isPresent(r))
            continue;
        ++s.listed;
        s.ejected += r.health.currentStatus() == runner_health::status::ejected ? 1 : 0;
    }
}

std::size_t runner_table::countEjected() const
{
    return std::size_t(std::count_if(m_runners.begin(), m_runners.end(), [](const runner_state &r) {
        return r.isInUse && r.health.currentStatus() != runner_health::status::healthy;
    }));
}

std::size_t runner_table::countLeaving() const
{
    return std::size_t(std::count_if(m_runners.begin(), m_runners.end(), [](const runner_state &r) {
        return r.isInUse && r.isListed && r.leaving.isLeaving();
    }));
}

std::size_t runner_table::countSlotsTaken() const
{
    std::size_t taken = 0;
    for (const runner_state &r : m_runners)
        taken += std::size_t(r.isInUse ? r.taken : 0);
    return taken;
}

void runner_table::checkInvariants(std::vector<std::string> *violations) const
{
    std::vector<int> slots(m_services.size());
    std::vector<int> free(m_services.size());
    std::vector<int> listed(m_services.size());
    std::vector<int> ejected(m_services.size());
    for (const runner_state &r : m_runners) {
        if (!r.isInUse)
            continue;
        if (r.taken > std::max(r.slotLimit, r.takenAtLimitChange))
            violations->push_back(fmt::format("{}: {} slots taken, the limit is {}", r.name.value,
                                              r.taken, r.slotLimit));
        if (r.taken < r.connected || r.connected < 0)
            violations->push_back(fmt::format("{}: {} connections taken for {} slots", r.name.value,
                                              r.connected, r.taken));
        const bool isEjected = r.health.currentStatus() == runner_health::status::ejected;
        listed[r.service] += isPresent(r) ? 1 : 0;
        ejected[r.service] += isPresent(r) && isEjected ? 1 : 0;
        slots[r.service] += r.countedSlots;
        free[r.service] += r.countedFree;
    }
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        const service_state &s = m_services[i];
        if (slots[i] != s.slots || free[i] != s.freeSlots || free[i] < 0)
            violations->push_back(fmt::format("{}: {} of {} slots free, counted {} of {}",
                                              s.name.value, free[i], slots[i], s.freeSlots,
                                              s.slots));
        if (listed[i] != s.listed || ejected[i] != s.ejected)
            violations->push_back(fmt::format("{}: {} of {} runners ejected, counted {} of {}",
                                              s.name.value, ejected[i], listed[i], s.ejected,
                                              s.listed));
    }
}

} // namespace crocuswind
