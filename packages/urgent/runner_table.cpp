#include "runner_table.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Weight of a sample in a service's means, which are taken over many runners.
constexpr double serviceSampleWeight = 0.05;

/// If this part of all attempts of a service fails, the cause is not a single runner, and ejections
/// would only take capacity away.
constexpr double commonFailurePart = 0.5;

} // namespace

runner_table::runner_table(routing_kind routing, std::uint64_t seed)
    : m_routing(routing)
    , m_seed(seed)
{ }

std::size_t runner_table::addService(const service_id &service)
{
    const auto [place, isNew] = m_serviceByName.emplace(service, m_services.size());
    if (isNew) {
        m_services.emplace_back();
        m_services.back().name = service;
        m_services.back().policy = makeRoutingPolicy(m_routing, m_seed);
    }
    return place->second;
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
    r.health.assume(m_services[r.service].serviceTime);
    m_byName.emplace(r.name, number);
    return number;
}

void runner_table::list(instant now, const std::vector<runner_listing> &listings)
{
    std::set<std::size_t> shown;
    for (const runner_listing &l : listings) {
        const auto found = m_byName.find(l.runner);
        const std::size_t number = found == m_byName.end() ? addRunner(l) : found->second;
        runner_state &r = m_runners[number];
        // A runner keeps its service for as long as its record lives; under another service the
        // listing is taken up once the record is gone.
        if (m_services[r.service].name != l.service)
            continue;
        shown.insert(number);
        r.isListed = true;
        r.slots = std::max(l.slots, 0);
        r.connections = std::max(l.connections, 0);
        r.leaving.list(now, l.isLeaving);
        r.health.forget(now, m_services[r.service].serviceTime);
    }
    for (std::size_t number = 0; number < m_runners.size(); ++number) {
        runner_state &r = m_runners[number];
        if (!r.isInUse || shown.count(number) != 0)
            continue;
        r.isListed = false;
        r.leaving.unlist();
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
        r.slotLimit = mayDispatch ? share.partOf(r.slots, r.name) : 0;
        r.connectionLimit = mayDispatch ? share.partOf(r.connections, r.name) : 0;
        r.excusedTaken = r.taken;
        refresh(number);
    }
}

std::optional<std::size_t> runner_table::choose(std::size_t service, instant now,
                                                random_source &random,
                                                std::optional<std::size_t> avoid, probe_use probe,
                                                bool leaveBest)
{
    service_state &s = m_services[service];
    if (probe != probe_use::none) {
        for (std::size_t number : s.probeDue) {
            const runner_state &r = m_runners[number];
            if (hasRoom(r) && (probe == probe_use::any || r.health.isProbeHarmless(now)))
                return number;
        }
    }
    return s.policy->choose(random, avoid, leaveBest);
}

void runner_table::take(std::size_t runner)
{
    runner_state &r = m_runners[runner];
    CROCUSWIND_INVARIANT(hasRoom(r) && isPresent(r),
                         fmt::format("{}: {} of {} slots and {} of {} connections are taken",
                                     r.name.value, r.taken, r.slotLimit, r.connected,
                                     r.connectionLimit));
    ++r.taken;
    ++r.connected;
    if (r.health.now() != runner_health::standing::healthy)
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
    r.excusedTaken = std::min(r.excusedTaken, r.taken);
    refresh(runner);
}

bool runner_table::mayEject(const service_state &service) const
{
    return (service.ejected + 1) * 2 <= service.listed && service.failureRate < commonFailurePart;
}

std::optional<instant> runner_table::observe(std::size_t runner, instant now,
                                             runner_result::kind result, duration took,
                                             bool isLeaving, random_source &random,
                                             std::string *log)
{
    using standing = runner_health::standing;
    runner_state &r = m_runners[runner];
    service_state &s = m_services[r.service];
    std::optional<instant> probeAt;
    const standing before = r.health.now();
    if (isLeaving && !r.leaving.isLeaving()) {
        r.leaving.sayLeaving(now);
        *log = fmt::format("runner {} is leaving", r.name.value);
    }
    if (result == runner_result::kind::answered) {
        s.serviceTime += serviceSampleWeight * (double(took.count()) - s.serviceTime);
        s.isMeasured = true;
        s.failureRate *= 1 - serviceSampleWeight;
        r.health.succeed(now, took);
        if (before != standing::healthy)
            *log = fmt::format("runner {} answers again", r.name.value);
    } else if (isLeaving) {
        // A refusal by a leaving runner is no evidence of a failure.
        r.health.endProbe();
    } else {
        const bool hasStarted
            = result == runner_result::kind::no_answer || result == runner_result::kind::failed;
        s.failureRate += serviceSampleWeight * (1 - s.failureRate);
        r.health.fail(now, took, hasStarted);
        if (result == runner_result::kind::not_connected)
            probeAt = r.health.eject(now, standing::unreachable, random);
        else if (before != standing::healthy && r.health.isProbing())
            probeAt = r.health.eject(now, before, random);
        else if (before == standing::healthy && r.health.isFailing() && mayEject(s))
            probeAt = r.health.eject(now, standing::ejected, random);
        if (probeAt && before == standing::healthy)
            *log = fmt::format("runner {} is taken out: {}", r.name.value,
                               r.health.now() == standing::ejected ? "it fails"
                                                                   : "it refuses connections");
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
    if (r.health.now() != runner_health::standing::healthy && !r.health.isProbing()
        && now >= r.health.probeAt() && isPresent(r))
        m_services[r.service].probeDue.insert(runner);
}

void runner_table::refresh(std::size_t runner)
{
    runner_state &r = m_runners[runner];
    service_state &s = m_services[r.service];
    const bool isHealthy = isPresent(r) && r.health.now() == runner_health::standing::healthy;
    const bool isEligible = isHealthy && hasRoom(r);
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
    const int standing = isPresent(r) ? 1 + int(r.health.now()) : 0;
    if (standing != r.countedStanding) {
        r.countedStanding = standing;
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
        s.ejected += r.health.now() == runner_health::standing::ejected ? 1 : 0;
    }
}

std::size_t runner_table::countEjected() const
{
    return std::size_t(std::count_if(m_runners.begin(), m_runners.end(), [](const runner_state &r) {
        return r.isInUse && r.health.now() != runner_health::standing::healthy;
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
        if (r.taken > std::max(r.slotLimit, r.excusedTaken))
            violations->push_back(fmt::format("{}: {} slots are taken, the limit is {}",
                                              r.name.value, r.taken, r.slotLimit));
        if (r.taken < r.connected || r.connected < 0)
            violations->push_back(
                fmt::format("{}: {} connections for {} slots", r.name.value, r.connected, r.taken));
        const bool isEjected = r.health.now() == runner_health::standing::ejected;
        listed[r.service] += isPresent(r) ? 1 : 0;
        ejected[r.service] += isPresent(r) && isEjected ? 1 : 0;
        slots[r.service] += r.countedSlots;
        free[r.service] += r.countedFree;
    }
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        const service_state &s = m_services[i];
        if (slots[i] != s.slots || free[i] != s.freeSlots || free[i] < 0)
            violations->push_back(fmt::format("{}: {} free of {} slots, counted {} of {}",
                                              s.name.value, free[i], slots[i], s.freeSlots,
                                              s.slots));
        if (listed[i] != s.listed || ejected[i] != s.ejected)
            violations->push_back(fmt::format("{}: {} of {} runners are ejected, counted {} of {}",
                                              s.name.value, ejected[i], listed[i], s.ejected,
                                              s.listed));
    }
}

} // namespace crocuswind
