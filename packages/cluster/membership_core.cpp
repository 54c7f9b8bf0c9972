#include "membership_core.h"

#include <algorithm>
#include <fmt/format.h>

namespace crocuswind {

namespace {

/// If a wake-up is late by more than this, the process was suspended, and missing answers are no
/// evidence of failed peers.
constexpr duration maxWakeDelay = 500ms;

/// Period for which dead members are probed more often after one of them has come back.
constexpr duration healingPeriod = 10s;

/// Without a host list, a dead member of the same data centre is treated as possibly running for
/// this long.
constexpr duration possiblyRunningPeriod = 60s;

/// Largest number of local peers that are notified immediately of a new configuration.
constexpr std::size_t configUpdateFanOut = 4;

bool isLiving(const member &m)
{
    return m.report.state == member_state::alive || m.report.state == member_state::suspect;
}

} // namespace

std::uint32_t serviceHash(const service_id &service)
{
    return std::uint32_t(stableHash(service.value));
}

membership_core::membership_core(membership_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    m_self.host = m_settings.self;
    m_self.dataCentre = m_settings.dataCentre;
    m_self.address = m_settings.address;
    m_self.incarnationNumber = m_settings.incarnationNumber;
}

std::vector<membership_core::action> membership_core::handle(const event &e)
{
    m_now = e.now;
    m_actions.clear();
    // A host that has left must not confirm anything to its peers, such as a seat.
    if (m_self.state == member_state::left)
        return {};
    if (!m_plannedWake) {
        // A random phase prevents hosts that start together from probing at the same times.
        m_nextRound
            = m_now + duration(std::int64_t(m_random.below(m_settings.probeInterval.count())));
        // A random first seed prevents them from all contacting the same host.
        m_seedIndex = std::size_t(m_random.below(1024));
    } else if (m_now > *m_plannedWake + maxWakeDelay) {
        recoverFromPause();
    }
    std::visit([this](const auto &what) { on(what); }, e.what);
    checkProbes();
    checkSuspicions();
    if (m_now >= m_nextRound)
        runProbeRound();
    if (m_now >= m_nextSeedContact)
        contactSeeds();
    members_changed changes;
    changes.changed = m_table.takeChanges(&changes.removed);
    for (const host_id &host : changes.removed)
        m_suspicions.erase(host);
    if (!changes.changed.empty() || !changes.removed.empty())
        m_actions.push_back(std::move(changes));
    reportLocalPeers();
    checkSeatsReportedByPeers();
    m_plannedWake = nextWake();
    m_actions.push_back(cluster_wake_at{*m_plannedWake});
    return std::move(m_actions);
}

peer_hello membership_core::hello() const
{
    return {m_self.host, m_self.dataCentre, m_self.address, m_self.incarnationNumber};
}

std::optional<duration> membership_core::expectedWait(const member &m, const service_id &service)
{
    for (const auto &[key, waitMs] : m.report.waits) {
        if (key == serviceHash(service))
            return std::chrono::milliseconds(waitMs);
    }
    return std::nullopt;
}

void membership_core::on(const cluster_tick &) { }

void membership_core::on(const membership_peer_hello &e)
{
    if (e.hello.host == m_settings.self)
        return;
    const member *known = m_table.find(e.hello.host);
    const bool isNewIncarnation
        = known == nullptr || known->report.incarnationNumber < e.hello.incarnationNumber;
    if (isNewIncarnation) {
        member_report report;
        report.host = e.hello.host;
        report.dataCentre = e.hello.dataCentre;
        report.address = e.hello.address;
        report.incarnationNumber = e.hello.incarnationNumber;
        applyReport(report);
    }
    if (isNewIncarnation || !isLiving(*known))
        probe(e.hello.host);
}

void membership_core::on(const membership_peer_message &e)
{
    if (e.from != m_settings.self)
        std::visit([&](const auto &m) { receive(e.from, m); }, e.message);
}

void membership_core::on(const membership_link_down &e)
{
    const member *known = m_table.find(e.host);
    if (known == nullptr || known->report.state != member_state::alive)
        return;
    const bool isProbed = std::any_of(m_probes.begin(), m_probes.end(), [&](const auto &p) {
        return p.second.target == e.host && p.second.origin.empty();
    });
    if (!isProbed)
        probe(e.host);
}

void membership_core::on(const membership_host_list &e)
{
    if (e.hosts.empty())
        return;
    m_listed.clear();
    std::set<host_id> names;
    for (const listed_entry_host &h : e.hosts) {
        if (h.host == m_settings.self)
            continue;
        m_listed[h.host] = h;
        names.insert(h.host);
    }
    m_table.setListed(names);
}

void membership_core::on(const membership_local_load &e)
{
    m_self.loadPercent = e.loadPercent;
    m_self.waits.clear();
    for (const auto &[service, wait] : e.waits) {
        if (m_self.waits.size() == maxReportedWaits)
            break;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        constexpr std::int64_t longest = 3'600'000;
        m_self.waits.emplace_back(serviceHash(service),
                                  std::uint32_t(std::clamp(ms, std::int64_t(0), longest)));
    }
}

void membership_core::on(const membership_local_claim &e)
{
    ++m_self.heartbeat;
    m_unacknowledged.clear();
    m_self.seat.reset();
    m_self.seatEpoch = 0;
    if (!e.claim)
        return;
    m_self.seat = e.claim->seat;
    m_self.seatEpoch = e.claim->epoch;
    applySeatClaims(m_settings.self, {*e.claim});
    // A seat that another host held is not used until every peer has learned of the new claim, so
    // all peers are probed immediately.
    for (const host_id &host : localPeers()) {
        m_unacknowledged.insert(host);
        probe(host);
    }
}

void membership_core::on(const cluster_seats_read &e)
{
    m_areSeatsKnown = true;
    applySeatClaims(m_settings.self, e.claims);
}

void membership_core::on(const membership_local_config &e)
{
    const bool isHigher = e.revision > m_self.configRevision;
    ++m_self.heartbeat;
    m_self.configRevision = e.revision;
    m_self.watching = e.watching;
    if (!isHigher)
        return;
    auto local = hostsMatching([this](const member &m) {
        return m.report.state == member_state::alive && isLocal(m.report.host);
    });
    auto remote = hostsMatching([this](const member &m) {
        return m.report.state == member_state::alive && !isLocal(m.report.host);
    });
    shuffle(&local);
    shuffle(&remote);
    local.resize(std::min(local.size(), configUpdateFanOut));
    remote.resize(std::min(remote.size(), std::size_t(1)));
    for (const auto *hosts : {&local, &remote}) {
        for (const host_id &host : *hosts)
            notify(host, nullptr);
    }
}

void membership_core::on(const membership_leave &e)
{
    ++m_self.heartbeat;
    m_self.leaving = true;
    if (!e.left) {
        notifyLocal(nullptr);
        return;
    }
    m_self.state = member_state::left;
    for (const host_id &host : hostsMatching(isLiving))
        notify(host, nullptr);
}

void membership_core::receive(const host_id &from, const membership_probe &m)
{
    const bool isNew = m_table.find(from) == nullptr;
    applyDigest(from, m.digest);
    if (m.sequence == 0 || m_table.find(from) == nullptr)
        return;
    const bool isShort = isLocal(from) && !isNew;
    send(from,
         membership_probe_answer{
             m.sequence, {}, digestFor(from, isShort ? maxLocalDigestMembers : maxDigestMembers)});
}

void membership_core::receive(const host_id &from, const membership_probe_answer &m)
{
    applyDigest(from, m.digest);
    const auto found = m_probes.find(m.sequence);
    const host_id &subject = m.subject.empty() ? from : m.subject;
    if (found == m_probes.end() || found->second.target != subject)
        return;
    const pending_probe answered = found->second;
    m_probes.erase(found);
    if (!answered.origin.empty()) {
        member_digest digest;
        digest.members.push_back(m_self);
        if (const member *target = m_table.find(subject))
            digest.members.push_back(target->report);
        send(answered.origin, membership_probe_answer{answered.originSequence, subject, digest});
        return;
    }
    // An answer also completes earlier probes of the same host whose answers were lost.
    for (auto p = m_probes.begin(); p != m_probes.end();) {
        const bool isSettled = p->second.target == subject && p->second.origin.empty();
        p = isSettled ? m_probes.erase(p) : std::next(p);
    }
    // The host is alive but has not refuted the suspicion yet, so the suspicion is extended.
    const auto suspicion = m_suspicions.find(subject);
    if (suspicion != m_suspicions.end())
        suspicion->second = m_now + m_settings.suspicion;
    if (m.subject.empty() && isLocal(from))
        m_actions.push_back(
            cluster_peer_report{from, answered.sent, m.digest.seatsKnown, m.digest.seats});
}

void membership_core::receive(const host_id &from, const membership_indirect_probe &m)
{
    if (m_table.find(from) == nullptr || m.target.host == m_settings.self)
        return;
    applyReport(m.target);
    if (m_table.find(m.target.host) != nullptr)
        probe(m.target.host, from, m.sequence);
}

void membership_core::applyReport(const member_report &report)
{
    if (report.host == m_settings.self) {
        refute(report);
        return;
    }
    const member *before = m_table.find(report.host);
    const bool wasDead = before != nullptr && before->report.state == member_state::dead;
    if (!m_table.merge(report, m_now))
        return;
    if (report.state != member_state::suspect) {
        m_suspicions.erase(report.host);
        if (wasDead && report.state == member_state::alive)
            m_healingUntil = m_now + healingPeriod;
    } else if (isLocal(report.host)) {
        // A suspect is declared dead only by hosts that have probed it themselves, because a
        // refutation can reach them directly, whereas gossip might deliver it too late.
        m_suspicions[report.host] = m_now + m_settings.suspicion;
        probe(report.host);
    }
}

void membership_core::refute(const member_report &report)
{
    if (report.incarnationNumber != m_self.incarnationNumber || report.state == member_state::alive
        || report.refutation < m_self.refutation || m_self.state == member_state::left)
        return;
    m_self.refutation = report.refutation + 1;
    notifyLocal(nullptr);
}

void membership_core::applyDigest(const host_id &from, const member_digest &digest)
{
    for (const member_report &report : digest.members)
        applyReport(report);
    if (!isLocal(from))
        return;
    if (digest.seatsKnown)
        m_seatsReportedBy.insert(from);
    applySeatClaims(from, digest.seats);
    for (const seat_claim &c : digest.seats) {
        if (m_self.seat == c.seat && c.epoch >= m_self.seatEpoch)
            m_unacknowledged.erase(from);
    }
}

void membership_core::applySeatClaims(const host_id &from, const std::vector<seat_claim> &claims)
{
    bool isHigher = false;
    for (const seat_claim &c : claims) {
        seat_claim &known = m_seats[c.seat];
        if (c.epoch > known.epoch) {
            known = c;
            isHigher = true;
        }
    }
    // A higher claim invalidates this host's own claim as soon as it is known, whichever message
    // carried it.
    if (isHigher && from != m_settings.self)
        m_actions.push_back(cluster_peer_report{from, instant(), false, claims});
}

void membership_core::appendSeatClaims(member_digest *digest, const host_id &to) const
{
    if (!isLocal(to))
        return;
    digest->seatsKnown = m_areSeatsKnown;
    for (const auto &[seat, claim] : m_seats)
        digest->seats.push_back(claim);
}

member_digest membership_core::digestFor(const host_id &to, std::size_t limit)
{
    member_digest digest;
    digest.members.push_back(m_self);
    // The receiver's own report comes first if it is suspected or declared dead, so that it can
    // refute that.
    const member *receiver = m_table.find(to);
    if (receiver != nullptr && receiver->report.state != member_state::alive)
        digest.members.push_back(receiver->report);
    m_table.appendReports(&digest.members, limit, to);
    appendSeatClaims(&digest, to);
    return digest;
}

void membership_core::notify(const host_id &to, const member_report *subject)
{
    member_digest digest;
    digest.members.push_back(m_self);
    if (subject != nullptr)
        digest.members.push_back(*subject);
    appendSeatClaims(&digest, to);
    send(to, membership_probe{0, std::move(digest)});
}

void membership_core::notifyLocal(const member_report *subject)
{
    const auto hosts = hostsMatching([&](const member &m) {
        const bool isSubject = subject != nullptr && m.report.host == subject->host;
        return isLiving(m) && isLocal(m.report.host) && !isSubject;
    });
    for (const host_id &host : hosts)
        notify(host, subject);
}

void membership_core::send(const host_id &to, membership_message message)
{
    std::string address;
    if (const member *known = m_table.find(to))
        address = known->report.address;
    else if (const auto listed = m_listed.find(to); listed != m_listed.end())
        address = listed->second.address;
    m_actions.push_back(membership_send{to, std::move(address), std::move(message)});
}

bool membership_core::isLocal(const host_id &host) const
{
    if (const member *known = m_table.find(host))
        return known->report.dataCentre == m_settings.dataCentre;
    const auto listed = m_listed.find(host);
    return listed != m_listed.end() && listed->second.dataCentre == m_settings.dataCentre;
}

std::vector<host_id>
membership_core::hostsMatching(const std::function<bool(const member &)> &matches) const
{
    std::vector<host_id> hosts;
    for (const auto &[host, m] : m_table.members()) {
        if (matches(m))
            hosts.push_back(host);
    }
    return hosts;
}

void membership_core::shuffle(std::vector<host_id> *hosts)
{
    for (std::size_t i = hosts->size(); i > 1; --i)
        std::swap((*hosts)[i - 1], (*hosts)[m_random.below(i)]);
}

std::vector<host_id> membership_core::localPeers() const
{
    std::set<host_id> hosts;
    for (const auto &[host, m] : m_table.members()) {
        if (!isLocal(host) || m.report.state == member_state::left)
            continue;
        const bool mayRun
            = m.listed || (m_listed.empty() && m_now - m.since < possiblyRunningPeriod);
        if (isLiving(m) || mayRun)
            hosts.insert(host);
    }
    for (const auto &[host, listed] : m_listed) {
        if (listed.dataCentre == m_settings.dataCentre && m_table.find(host) == nullptr)
            hosts.insert(host);
    }
    return {hosts.begin(), hosts.end()};
}

void membership_core::reportLocalPeers()
{
    auto peers = localPeers();
    if (m_reportedPeers == peers)
        return;
    m_reportedPeers = peers;
    m_actions.push_back(cluster_local_peers{std::move(peers)});
}

void membership_core::checkSeatsReportedByPeers()
{
    if (m_areSeatsKnown || m_listed.empty() || !m_reportedPeers || m_reportedPeers->empty())
        return;
    // A host that starts while the store is down knows the seats once all its peers have reported
    // them. Without the host list it cannot tell whether it knows all peers.
    m_areSeatsKnown
        = std::all_of(m_reportedPeers->begin(), m_reportedPeers->end(),
                      [this](const host_id &host) { return m_seatsReportedBy.count(host) != 0; });
}

bool membership_core::isAddressKnown(const std::string &address) const
{
    return address == m_settings.address
        || std::any_of(m_table.members().begin(), m_table.members().end(), [&](const auto &m) {
               return m.second.report.state != member_state::left
                   && m.second.report.address == address;
           });
}

} // namespace crocuswind
