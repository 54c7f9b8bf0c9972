// The part of membership_core that selects the hosts to probe and times the probes.

#include "membership_core.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// Number of hosts that are requested to probe a host that does not answer.
constexpr std::size_t indirectProberCount = 3;

/// Number of seeds contacted at a time.
constexpr std::size_t seedsAtOnce = 2;

/// Largest number of peers probed per round only because they have not acknowledged this host's
/// claim.
constexpr std::size_t maxClaimProbes = 3;

/// A dead member is probed once in this many rounds, so that the end of a partition is noticed.
constexpr std::int64_t deadProbeRounds = 6;

bool isAlive(const member &m)
{
    return m.report.state == member_state::alive;
}

bool isDead(const member &m)
{
    return m.report.state == member_state::dead;
}

} // namespace

void membership_core::recoverFromPause()
{
    m_probes.clear();
    for (auto &[host, deadline] : m_suspicions)
        deadline = std::max(deadline, m_now + m_settings.suspicion);
    m_nextRound = m_now;
}

void membership_core::runProbeRound()
{
    m_nextRound = m_now + m_settings.probeInterval;
    ++m_round;
    ++m_self.heartbeat;
    m_table.removeExpired(m_now, m_settings.forgetUnlisted, m_settings.forgetDead,
                          !m_listed.empty());
    const auto successor = ringSuccessor();
    std::optional<host_id> target = successor;
    if (m_round % 2 != 0) {
        const auto other = nextRoundRobin(&m_localQueue, [&](const member &m) {
            return isAlive(m) && isLocal(m.report.host) && m.report.host != successor;
        });
        target = other ? other : successor;
    }
    if (target)
        probe(*target);
    if (m_round % 2 != 0) {
        const auto remote = nextRoundRobin(&m_remoteQueue, [this](const member &m) {
            return isAlive(m) && !isLocal(m.report.host);
        });
        if (remote)
            probe(*remote);
    }
    const bool isHealing = m_now < m_healingUntil && m_round % 2 == 0;
    if (m_round % deadProbeRounds == 0 || isHealing) {
        if (const auto dead = nextRoundRobin(&m_deadQueue, isDead))
            probe(*dead);
    }
    std::size_t count = 0;
    for (const host_id &host : m_unacknowledged) {
        const member *known = m_table.find(host);
        const bool isProbedAnyway = host == target || known == nullptr || isDead(*known);
        if (!isProbedAnyway && ++count <= maxClaimProbes)
            probe(host);
    }
}

std::optional<host_id> membership_core::ringSuccessor() const
{
    // Each host is probed once a second by its predecessor in the order of names, which bounds the
    // time until a failure is detected.
    const auto local
        = hostsMatching([this](const member &m) { return isAlive(m) && isLocal(m.report.host); });
    if (local.empty())
        return std::nullopt;
    const auto next = std::upper_bound(local.begin(), local.end(), m_settings.self);
    return next == local.end() ? local.front() : *next;
}

std::optional<host_id>
membership_core::nextRoundRobin(std::vector<host_id> *queue,
                                const std::function<bool(const member &)> &matches)
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!queue->empty()) {
            const host_id host = queue->back();
            queue->pop_back();
            const member *known = m_table.find(host);
            if (known != nullptr && matches(*known))
                return host;
        }
        *queue = hostsMatching(matches);
        shuffle(queue);
    }
    return std::nullopt;
}

void membership_core::probe(const host_id &target, const host_id &origin, std::int64_t sequence)
{
    pending_probe p;
    p.target = target;
    p.sent = m_now;
    p.deadline = m_now + timeoutFor(target);
    p.origin = origin;
    p.originSequence = sequence;
    m_probes[++m_lastSequence] = p;
    const member *known = m_table.find(target);
    const bool isShort = isLocal(target) || (known != nullptr && isDead(*known));
    const std::size_t limit = isShort ? maxLocalDigestMembers : maxDigestMembers;
    send(target, membership_probe{m_lastSequence, digestFor(target, limit)});
}

void membership_core::checkProbes()
{
    std::vector<std::int64_t> due;
    for (const auto &[sequence, p] : m_probes) {
        if (m_now >= p.deadline)
            due.push_back(sequence);
    }
    for (const std::int64_t sequence : due) {
        const auto found = m_probes.find(sequence);
        if (found == m_probes.end())
            continue;
        pending_probe &p = found->second;
        const member *known = m_table.find(p.target);
        if (!p.origin.empty() || known == nullptr || isDead(*known)) {
            m_probes.erase(found);
        } else if (!p.isIndirect) {
            p.isIndirect = true;
            p.deadline = m_now + timeoutFor(p.target);
            sendIndirectProbes(sequence, p);
        } else {
            const host_id target = p.target;
            m_probes.erase(found);
            suspect(target);
        }
    }
}

void membership_core::sendIndirectProbes(std::int64_t sequence, const pending_probe &p)
{
    auto near = hostsMatching([&](const member &m) {
        return isAlive(m) && m.report.host != p.target && isLocal(m.report.host);
    });
    auto far = hostsMatching([&](const member &m) {
        return isAlive(m) && m.report.host != p.target && !isLocal(m.report.host);
    });
    shuffle(&near);
    shuffle(&far);
    // Local hosts answer sooner, but a host of another data centre may reach a target that no local
    // host can reach.
    if (!isLocal(p.target))
        near.resize(std::min(near.size(), std::size_t(1)));
    near.insert(near.end(), far.begin(), far.end());
    near.resize(std::min(near.size(), indirectProberCount));
    const member_report report = m_table.find(p.target)->report;
    for (const host_id &helper : near)
        send(helper, membership_indirect_probe{sequence, report});
    // The direct probe is repeated as well, with the same sequence, so either answer completes the
    // probe.
    send(p.target, membership_probe{sequence, digestFor(p.target, 1)});
}

void membership_core::suspect(const host_id &host)
{
    if (isAlive(*m_table.find(host))) {
        m_table.setState(host, member_state::suspect, m_now);
        m_suspicions[host] = m_now + m_settings.suspicion;
        if (isLocal(host)) {
            const member_report report = m_table.find(host)->report;
            notifyLocal(&report);
        }
    }
    probe(host);
}

void membership_core::checkSuspicions()
{
    std::vector<host_id> due;
    for (const auto &[host, deadline] : m_suspicions) {
        if (m_now >= deadline)
            due.push_back(host);
    }
    for (const host_id &host : due) {
        m_suspicions.erase(host);
        const member *known = m_table.find(host);
        if (known == nullptr || known->report.state != member_state::suspect)
            continue;
        m_table.setState(host, member_state::dead, m_now);
        if (isLocal(host)) {
            const member_report report = known->report;
            notifyLocal(&report);
        }
    }
}

void membership_core::contactSeeds()
{
    m_nextSeedContact = m_now + m_settings.seedContactInterval;
    std::set<std::string> addresses;
    for (const std::string &address : m_settings.seeds)
        addresses.insert(address);
    for (const auto &[host, listed] : m_listed)
        addresses.insert(listed.address);
    std::vector<std::string> unknown;
    for (const std::string &address : addresses) {
        if (!isAddressKnown(address))
            unknown.push_back(address);
    }
    for (std::size_t i = 0; i < std::min(unknown.size(), seedsAtOnce); ++i)
        m_actions.push_back(membership_contact_seed{unknown[m_seedIndex++ % unknown.size()]});
}

duration membership_core::timeoutFor(const host_id &host) const
{
    return isLocal(host) ? m_settings.localTimeout : m_settings.remoteTimeout;
}

instant membership_core::nextWake() const
{
    instant next = std::min(m_nextRound, m_nextSeedContact);
    for (const auto &[sequence, p] : m_probes)
        next = std::min(next, p.deadline);
    for (const auto &[host, deadline] : m_suspicions)
        next = std::min(next, deadline);
    return next;
}

} // namespace crocuswind
