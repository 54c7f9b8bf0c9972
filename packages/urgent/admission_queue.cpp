#include "admission_queue.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// Time constant of the average use by urgent requests: longer than bursts, much shorter than
/// floods.
constexpr double averagingMicroseconds = 1e6;

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
        const auto [place, isNew] = m_teamByName.emplace(q.team, m_teams.size());
        if (isNew) {
            m_teams.emplace_back();
            m_teams.back().name = q.team;
        }
        m_teams[place->second].weight = std::max(q.weight, 1);
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

admission_queue::cell &admission_queue::cellOf(std::size_t service, std::size_t team)
{
    if (m_cells.size() <= service)
        m_cells.resize(service + 1);
    if (m_cells[service].size() <= team)
        m_cells[service].resize(m_teams.size());
    return m_cells[service][team];
}

const admission_queue::cell *admission_queue::findCell(std::size_t service, std::size_t team) const
{
    if (m_cells.size() <= service || m_cells[service].size() <= team)
        return nullptr;
    return &m_cells[service][team];
}

std::size_t admission_queue::queuedFor(std::size_t service) const
{
    std::size_t queued = 0;
    for (std::size_t team = 0; findCell(service, team); ++team)
        queued += m_cells[service][team].lanes[0].size() + m_cells[service][team].lanes[1].size();
    return queued;
}

duration admission_queue::expectedWait(std::size_t service, std::size_t team, urgency level,
                                       const service_capacity &capacity) const
{
    std::size_t aheadOfAll = 0;
    for (std::size_t t = 0; findCell(service, t); ++t) {
        const cell &c = m_cells[service][t];
        aheadOfAll += c.lanes[0].size() + (level == urgency::normal ? c.lanes[1].size() : 0);
    }
    const int reserve = level == urgency::normal ? int(m_urgentReserve * capacity.slots) : 0;
    if (capacity.slots == 0 || (aheadOfAll == 0 && capacity.freeSlots > reserve))
        return duration(0);
    const double turn = double(capacity.serviceTime.count()) / capacity.slots;
    const double inTurn = double(aheadOfAll + 1) * turn;
    const double guaranteed = guarantee(team, capacity.slots);
    if (guaranteed <= 0)
        return duration(std::int64_t(inTurn));
    // A team is served at least at the rate of its guarantee, however many others wait.
    const cell *own = findCell(service, team);
    std::size_t ahead = 0;
    int running = 0;
    if (own) {
        ahead = own->lanes[0].size() + (level == urgency::normal ? own->lanes[1].size() : 0);
        running = own->running;
    }
    const bool isWithin = double(ahead) + running < guaranteed;
    const double byGuarantee = isWithin
        ? double(ahead + 1) * turn
        : double(ahead + 1) * double(capacity.serviceTime.count()) / guaranteed;
    return duration(std::int64_t(std::min(inTurn, byGuarantee)));
}

std::optional<outcome_reason> admission_queue::admit(std::size_t service, std::size_t team,
                                                     urgency level, request_key key,
                                                     std::size_t bytes,
                                                     std::vector<request_key> *displaced)
{
    // An urgent request takes the place of the newest normal one of its own team.
    const auto takeOwnPlace = [&] {
        const std::deque<request_key> &normal = cellOf(service, team).lanes[1];
        if (level != urgency::urgent || normal.empty())
            return false;
        drop(service, team, urgency::normal, normal.back(), displaced);
        return true;
    };
    if (m_teams[team].queued >= m_maxQueuedForTeam && !takeOwnPlace())
        return outcome_reason::queue_full;
    while (m_queued >= m_maxQueued || m_payloadBytes + bytes > m_maxPayloadBytes) {
        const bool isFull = m_queued >= m_maxQueued;
        if (!takeOwnPlace() && !makeRoom(team, bytes, displaced))
            return isFull ? outcome_reason::queue_full : outcome_reason::memory_full;
    }
    cellOf(service, team).lanes[std::size_t(level)].push_back(key);
    m_bytesOf.emplace(key, bytes);
    ++m_queued;
    ++m_teams[team].queued;
    m_payloadBytes += bytes;
    m_teams[team].payloadBytes += bytes;
    return std::nullopt;
}

bool admission_queue::makeRoom(std::size_t team, std::size_t bytes,
                               std::vector<request_key> *displaced)
{
    // Parts of the queue and of the memory are compared in units of what the weight gives; a team
    // without a quota has the smallest possible part.
    const auto excess = [this](std::size_t t, std::size_t queued, std::size_t held) {
        const double part = std::max(share(t), 1e-6);
        return std::max(double(queued) / (part * double(m_maxQueued)),
                        double(held) / (part * double(m_maxPayloadBytes)));
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
    dropNewest(worst, displaced);
    return true;
}

void admission_queue::dropNewest(std::size_t team, std::vector<request_key> *displaced)
{
    for (urgency level : {urgency::normal, urgency::urgent}) {
        for (std::size_t service = 0; service < m_cells.size(); ++service) {
            const cell *c = findCell(service, team);
            if (!c || c->lanes[std::size_t(level)].empty())
                continue;
            drop(service, team, level, c->lanes[std::size_t(level)].back(), displaced);
            return;
        }
    }
}

void admission_queue::drop(std::size_t service, std::size_t team, urgency level, request_key key,
                           std::vector<request_key> *displaced)
{
    const std::size_t bytes = m_bytesOf[key];
    remove(service, team, level, key);
    discard(team, bytes);
    displaced->push_back(key);
}

void admission_queue::putFirst(std::size_t service, std::size_t team, urgency level,
                               request_key key, std::size_t bytes)
{
    // It was admitted before, so the bounds were met then; at most as many requests come back here
    // as have slots.
    cellOf(service, team).lanes[std::size_t(level)].push_front(key);
    m_bytesOf.emplace(key, bytes);
    ++m_queued;
    ++m_teams[team].queued;
}

std::optional<request_key> admission_queue::next(std::size_t service, instant now,
                                                 const service_capacity &capacity)
{
    if (service >= m_cells.size() || capacity.freeSlots <= 0)
        return std::nullopt;
    // Requests beyond a guarantee leave the reserve free.
    const bool mayBorrow = capacity.freeSlots > int(m_urgentReserve * capacity.slots);
    std::vector<cell> &cells = m_cells[service];
    int bestRank = 4;
    double bestRatio = 0;
    const std::deque<request_key> *best = nullptr;
    for (std::size_t team = 0; team < cells.size(); ++team) {
        cell &c = cells[team];
        if (c.isEmpty())
            continue;
        average(c, now);
        const double guaranteed = guarantee(team, capacity.slots);
        const double ratio = double(c.running + 1) / std::max(guaranteed, 1e-6);
        const bool isUrgentWithin = c.averageUrgent < guaranteed;
        const double normalGuarantee = guaranteed * (1 - m_urgentReserve);
        const bool isNormalWithin = c.averageRunning < normalGuarantee
            && (mayBorrow || double(c.running + 1) <= std::max(normalGuarantee, 1.0));
        for (std::size_t lane : {0, 1}) {
            if (c.lanes[lane].empty())
                continue;
            const int rank = lane == 0 ? (isUrgentWithin ? 0 : 2) : (isNormalWithin ? 1 : 3);
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
    std::deque<request_key> &lane = cellOf(service, team).lanes[std::size_t(level)];
    const auto found = std::find(lane.begin(), lane.end(), key);
    if (found == lane.end())
        return;
    lane.erase(found);
    m_bytesOf.erase(key);
    --m_queued;
    --m_teams[team].queued;
}

void admission_queue::average(cell &c, instant now)
{
    const double elapsed = double((now - c.averagedAt).count());
    c.averagedAt = now;
    const double kept = std::exp(-elapsed / averagingMicroseconds);
    c.averageUrgent = c.runningUrgent + (c.averageUrgent - c.runningUrgent) * kept;
    c.averageRunning = c.running + (c.averageRunning - c.running) * kept;
}

void admission_queue::countStart(std::size_t service, std::size_t team, urgency level, instant now)
{
    cell &c = cellOf(service, team);
    average(c, now);
    ++c.running;
    c.runningUrgent += level == urgency::urgent ? 1 : 0;
}

void admission_queue::countEnd(std::size_t service, std::size_t team, urgency level, instant now)
{
    cell &c = cellOf(service, team);
    CROCUSWIND_INVARIANT(c.running > 0, m_teams[team].name.value);
    average(c, now);
    --c.running;
    c.runningUrgent -= level == urgency::urgent ? 1 : 0;
}

void admission_queue::discard(std::size_t team, std::size_t bytes)
{
    CROCUSWIND_INVARIANT(m_teams[team].payloadBytes >= bytes, std::to_string(bytes));
    m_teams[team].payloadBytes -= bytes;
    m_payloadBytes -= bytes;
}

std::vector<request_key> admission_queue::keys(std::size_t service) const
{
    std::vector<request_key> all;
    for (std::size_t team = 0; findCell(service, team); ++team) {
        for (const std::deque<request_key> &lane : m_cells[service][team].lanes)
            all.insert(all.end(), lane.begin(), lane.end());
    }
    return all;
}

void admission_queue::checkInvariants(std::vector<std::string> *violations) const
{
    std::size_t queued = 0;
    std::vector<std::size_t> queuedByTeam(m_teams.size());
    for (const std::vector<cell> &cells : m_cells) {
        for (std::size_t team = 0; team < cells.size(); ++team) {
            const std::size_t n = cells[team].lanes[0].size() + cells[team].lanes[1].size();
            queued += n;
            queuedByTeam[team] += n;
            if (cells[team].running < 0 || cells[team].runningUrgent < 0
                || cells[team].runningUrgent > cells[team].running)
                violations->push_back(fmt::format("team {} runs {} requests, {} of them urgent",
                                                  team, cells[team].running,
                                                  cells[team].runningUrgent));
        }
    }
    std::size_t bytes = 0;
    for (std::size_t team = 0; team < m_teams.size(); ++team) {
        bytes += m_teams[team].payloadBytes;
        if (queuedByTeam[team] != m_teams[team].queued)
            violations->push_back(fmt::format("team {} has {} queued, counted {}", team,
                                              queuedByTeam[team], m_teams[team].queued));
    }
    if (queued != m_queued || m_bytesOf.size() != queued)
        violations->push_back(fmt::format("{} are queued, counted {}", queued, m_queued));
    if (bytes != m_payloadBytes || bytes > m_maxPayloadBytes)
        violations->push_back(
            fmt::format("payloads take {} bytes, counted {}", bytes, m_payloadBytes));
}

} // namespace crocuswind
