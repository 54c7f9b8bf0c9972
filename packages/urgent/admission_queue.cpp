#include "admission_queue.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Time constant, in microseconds, of the averages of slot use: longer than a burst, much shorter
/// than a sustained overload.
constexpr double averagingTimeConstantUs = 1e6;

} // namespace

admission_queue::admission_queue(const urgent_settings &settings)
    : m_maxQueuedForTeam(settings.maxQueuedForTeam)
    , m_maxQueued(settings.maxQueued)
    , m_maxPayloadBytes(settings.maxPayloadBytes)
    , m_urgentReserve(settings.urgentReserve)
    , m_teams(1)
{ }

void admission_queue::configure(const std::vector<urgent_team_quota> &quotas)
{
    for (team_state &t : m_teams)
        t.weight = 0;
    for (const urgent_team_quota &q : quotas) {
        const auto [entry, isNew] = m_teamByName.emplace(q.team, m_teams.size());
        if (isNew) {
            m_teams.emplace_back();
            m_teams.back().name = q.team;
        }
        m_teams[entry->second].weight = std::max(q.weight, 1);
    }
    m_totalWeight = 0;
    for (const team_state &t : m_teams)
        m_totalWeight += t.weight;
}

std::size_t admission_queue::findTeam(const team_id &team) const
{
    const auto found = m_teamByName.find(team);
    return found == m_teamByName.end() ? 0 : found->second;
}

double admission_queue::share(std::size_t team) const
{
    return m_totalWeight > 0 ? m_teams[team].weight / m_totalWeight : 0;
}

double admission_queue::guarantee(std::size_t team, int slots) const
{
    return share(team) * slots;
}

admission_queue::team_queue &admission_queue::teamQueue(std::size_t service, std::size_t team)
{
    if (m_teamQueues.size() <= service)
        m_teamQueues.resize(service + 1);
    if (m_teamQueues[service].size() <= team)
        m_teamQueues[service].resize(m_teams.size());
    return m_teamQueues[service][team];
}

const admission_queue::team_queue *admission_queue::findTeamQueue(std::size_t service,
                                                                  std::size_t team) const
{
    if (m_teamQueues.size() <= service || m_teamQueues[service].size() <= team)
        return nullptr;
    return &m_teamQueues[service][team];
}

std::size_t admission_queue::queuedFor(std::size_t service) const
{
    std::size_t queued = 0;
    for (std::size_t team = 0; findTeamQueue(service, team); ++team)
        queued += m_teamQueues[service][team].lanes[0].size()
            + m_teamQueues[service][team].lanes[1].size();
    return queued;
}

duration admission_queue::expectedWait(std::size_t service, std::size_t team, urgency level,
                                       const service_capacity &capacity) const
{
    std::size_t totalAhead = 0;
    for (std::size_t t = 0; findTeamQueue(service, t); ++t) {
        const team_queue &c = m_teamQueues[service][t];
        totalAhead += c.lanes[0].size() + (level == urgency::normal ? c.lanes[1].size() : 0);
    }
    const int reserve = level == urgency::normal ? int(m_urgentReserve * capacity.slots) : 0;
    if (capacity.slots == 0 || (totalAhead == 0 && capacity.freeSlots > reserve))
        return duration(0);
    const double slotInterval = double(capacity.serviceTime.count()) / capacity.slots;
    const double sharedWait = double(totalAhead + 1) * slotInterval;
    const double guaranteed = guarantee(team, capacity.slots);
    if (guaranteed <= 0)
        return duration(std::int64_t(sharedWait));
    // A team is served at least at the rate of its guarantee, however many requests of other teams
    // are queued.
    const team_queue *own = findTeamQueue(service, team);
    std::size_t ahead = 0;
    int running = 0;
    if (own) {
        ahead = own->lanes[0].size() + (level == urgency::normal ? own->lanes[1].size() : 0);
        running = own->running;
    }
    const bool isWithinGuarantee = double(ahead) + running < guaranteed;
    const double guaranteedWait = isWithinGuarantee
        ? double(ahead + 1) * slotInterval
        : double(ahead + 1) * double(capacity.serviceTime.count()) / guaranteed;
    return duration(std::int64_t(std::min(sharedWait, guaranteedWait)));
}

std::optional<outcome_reason> admission_queue::admit(std::size_t service, std::size_t team,
                                                     urgency level, request_key key,
                                                     std::size_t bytes,
                                                     std::vector<request_key> *displaced)
{
    // Displaces the newest normal request of the same team in favour of an urgent one.
    const auto displaceOwnNormal = [&] {
        const std::deque<request_key> &normal = teamQueue(service, team).lanes[1];
        if (level != urgency::urgent || normal.empty())
            return false;
        displace(service, team, urgency::normal, normal.back(), displaced);
        return true;
    };
    if (m_teams[team].queued >= m_maxQueuedForTeam && !displaceOwnNormal())
        return outcome_reason::queue_full;
    while (m_queued >= m_maxQueued || m_payloadBytes + bytes > m_maxPayloadBytes) {
        const bool isFull = m_queued >= m_maxQueued;
        if (!displaceOwnNormal() && !displaceOverShare(team, bytes, displaced))
            return isFull ? outcome_reason::queue_full : outcome_reason::memory_full;
    }
    teamQueue(service, team).lanes[std::size_t(level)].push_back(key);
    m_bytesOf.emplace(key, bytes);
    ++m_queued;
    ++m_teams[team].queued;
    m_payloadBytes += bytes;
    m_teams[team].payloadBytes += bytes;
    return std::nullopt;
}

bool admission_queue::displaceOverShare(std::size_t team, std::size_t bytes,
                                        std::vector<request_key> *displaced)
{
    // A team's use of the queue and of payload memory is compared relative to its share. A team
    // without a quota is given a minimal share to avoid a division by zero.
    const auto excess = [this](std::size_t t, std::size_t queued, std::size_t held) {
        const double teamShare = std::max(share(t), 1e-6);
        return std::max(double(queued) / (teamShare * double(m_maxQueued)),
                        double(held) / (teamShare * double(m_maxPayloadBytes)));
    };
    std::size_t worst = team;
    double worstExcess = excess(team, m_teams[team].queued + 1, m_teams[team].payloadBytes + bytes);
    for (std::size_t t = 0; t < m_teams.size(); ++t) {
        const double e = excess(t, m_teams[t].queued, m_teams[t].payloadBytes);
        if (t != team && m_teams[t].queued > 0 && e > worstExcess) {
            worst = t;
            worstExcess = e;
        }
    }
    if (worst == team)
        return false;
    displaceNewest(worst, displaced);
    return true;
}

void admission_queue::displaceNewest(std::size_t team, std::vector<request_key> *displaced)
{
    for (urgency level : {urgency::normal, urgency::urgent}) {
        for (std::size_t service = 0; service < m_teamQueues.size(); ++service) {
            const team_queue *c = findTeamQueue(service, team);
            if (!c || c->lanes[std::size_t(level)].empty())
                continue;
            displace(service, team, level, c->lanes[std::size_t(level)].back(), displaced);
            return;
        }
    }
}

void admission_queue::displace(std::size_t service, std::size_t team, urgency level,
                               request_key key, std::vector<request_key> *displaced)
{
    const std::size_t bytes = m_bytesOf[key];
    remove(service, team, level, key);
    releaseBytes(team, bytes);
    displaced->push_back(key);
}

void admission_queue::pushFront(std::size_t service, std::size_t team, urgency level,
                                request_key key, std::size_t bytes)
{
    // The limits were checked when the request was admitted. At most as many requests can return to
    // the queue as have slots.
    teamQueue(service, team).lanes[std::size_t(level)].push_front(key);
    m_bytesOf.emplace(key, bytes);
    ++m_queued;
    ++m_teams[team].queued;
}

std::optional<request_key> admission_queue::next(std::size_t service, instant now,
                                                 const service_capacity &capacity)
{
    if (service >= m_teamQueues.size() || capacity.freeSlots <= 0)
        return std::nullopt;
    // Requests beyond a guarantee may only be dispatched if the reserve stays free.
    const bool mayBorrow = capacity.freeSlots > int(m_urgentReserve * capacity.slots);
    std::vector<team_queue> &teamQueues = m_teamQueues[service];
    int bestRank = 4;
    double bestRatio = 0;
    const std::deque<request_key> *best = nullptr;
    for (std::size_t team = 0; team < teamQueues.size(); ++team) {
        team_queue &c = teamQueues[team];
        if (c.isEmpty())
            continue;
        average(c, now);
        const double guaranteed = guarantee(team, capacity.slots);
        const double ratio = double(c.running + 1) / std::max(guaranteed, 1e-6);
        const bool isUrgentWithinGuarantee = c.averageUrgent < guaranteed;
        const double normalGuarantee = guaranteed * (1 - m_urgentReserve);
        const bool isNormalWithinGuarantee = c.averageRunning < normalGuarantee
            && (mayBorrow || double(c.running + 1) <= std::max(normalGuarantee, 1.0));
        for (std::size_t lane : {0, 1}) {
            if (c.lanes[lane].empty())
                continue;
            const int rank
                = lane == 0 ? (isUrgentWithinGuarantee ? 0 : 2) : (isNormalWithinGuarantee ? 1 : 3);
            if (rank >= 2 && !mayBorrow)
                continue;
            if (rank < bestRank || (rank == bestRank && ratio < bestRatio)) {
                bestRank = rank;
                bestRatio = ratio;
                best = &c.lanes[lane];
            }
        }
    }
    if (!best)
        return std::nullopt;
    return best->front();
}

void admission_queue::remove(std::size_t service, std::size_t team, urgency level, request_key key)
{
    std::deque<request_key> &lane = teamQueue(service, team).lanes[std::size_t(level)];
    const auto found = std::find(lane.begin(), lane.end(), key);
    if (found == lane.end())
        return;
    lane.erase(found);
    m_bytesOf.erase(key);
    --m_queued;
    --m_teams[team].queued;
}

void admission_queue::average(team_queue &c, instant now)
{
    const double elapsed = double((now - c.averagedAt).count());
    c.averagedAt = now;
    const double decay = std::exp(-elapsed / averagingTimeConstantUs);
    c.averageUrgent = c.runningUrgent + (c.averageUrgent - c.runningUrgent) * decay;
    c.averageRunning = c.running + (c.averageRunning - c.running) * decay;
}

void admission_queue::countStart(std::size_t service, std::size_t team, urgency level, instant now)
{
    team_queue &c = teamQueue(service, team);
    average(c, now);
    ++c.running;
    c.runningUrgent += level == urgency::urgent ? 1 : 0;
}

void admission_queue::countEnd(std::size_t service, std::size_t team, urgency level, instant now)
{
    team_queue &c = teamQueue(service, team);
    CROCUSWIND_INVARIANT(c.running > 0, m_teams[team].name.value);
    average(c, now);
    --c.running;
    c.runningUrgent -= level == urgency::urgent ? 1 : 0;
}

void admission_queue::releaseBytes(std::size_t team, std::size_t bytes)
{
    CROCUSWIND_INVARIANT(m_teams[team].payloadBytes >= bytes, std::to_string(bytes));
    m_teams[team].payloadBytes -= bytes;
    m_payloadBytes -= bytes;
}

std::vector<request_key> admission_queue::keys(std::size_t service) const
{
    std::vector<request_key> all;
    for (std::size_t team = 0; findTeamQueue(service, team); ++team) {
        for (const std::deque<request_key> &lane : m_teamQueues[service][team].lanes)
            all.insert(all.end(), lane.begin(), lane.end());
    }
    return all;
}

void admission_queue::checkInvariants(std::vector<std::string> *violations) const
{
    std::size_t queued = 0;
    std::vector<std::size_t> queuedByTeam(m_teams.size());
    for (const std::vector<team_queue> &teamQueues : m_teamQueues) {
        for (std::size_t team = 0; team < teamQueues.size(); ++team) {
            const std::size_t n
                = teamQueues[team].lanes[0].size() + teamQueues[team].lanes[1].size();
            queued += n;
            queuedByTeam[team] += n;
            if (teamQueues[team].running < 0 || teamQueues[team].runningUrgent < 0
                || teamQueues[team].runningUrgent > teamQueues[team].running)
                violations->push_back(fmt::format("team {}: {} requests running, {} of them urgent",
                                                  team, teamQueues[team].running,
                                                  teamQueues[team].runningUrgent));
        }
    }
    std::size_t bytes = 0;
    for (std::size_t team = 0; team < m_teams.size(); ++team) {
        bytes += m_teams[team].payloadBytes;
        if (queuedByTeam[team] != m_teams[team].queued)
            violations->push_back(fmt::format("team {}: {} requests queued, counted {}", team,
                                              queuedByTeam[team], m_teams[team].queued));
    }
    if (queued != m_queued || m_bytesOf.size() != queued)
        violations->push_back(fmt::format("{} requests are queued, counted {}", queued, m_queued));
    if (bytes != m_payloadBytes || bytes > m_maxPayloadBytes)
        violations->push_back(
            fmt::format("the teams' payloads take {} bytes, counted {}", bytes, m_payloadBytes));
}

} // namespace crocuswind
