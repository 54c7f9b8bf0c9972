#include "member_table.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// An update is sent this many times for each doubling of the fleet size. SWIM shows that a small
/// multiple of the logarithm of the size reaches every member with high probability.
constexpr int sendsPerDoubling = 3;

/// A member that has left is kept for this long, so that late reports do not add it again.
constexpr duration leftRetention = 60s;

bool isLiving(member_state s)
{
    return s == member_state::alive || s == member_state::suspect;
}

bool isStateOverriding(const member_report &a, const member_report &b)
{
    return std::tie(a.incarnationNumber, a.refutation, a.state)
        > std::tie(b.incarnationNumber, b.refutation, b.state);
}

} // namespace

const member *member_table::find(const host_id &host) const
{
    const auto found = m_members.find(host);
    return found == m_members.end() ? nullptr : &found->second;
}

bool member_table::merge(const member_report &report, instant now)
{
    const auto found = m_members.find(report.host);
    if (found == m_members.end()) {
        if (!isLiving(report.state))
            return false;
        member &added = m_members[report.host];
        added = {report, now, m_listed.count(report.host) != 0};
        clearSupersededClaims(&added);
        queueUpdate(report.host);
        return true;
    }
    member &known = found->second;
    const bool isStateNewer = isStateOverriding(report, known.report);
    const bool isRestNewer = std::tie(report.incarnationNumber, report.heartbeat)
        > std::tie(known.report.incarnationNumber, known.report.heartbeat);
    const bool isChanged = isStateNewer
        && (report.incarnationNumber != known.report.incarnationNumber
            || report.state != known.report.state || report.state == member_state::suspect);
    const member_report old = known.report;
    if (isRestNewer) {
        known.report = report;
        known.report.incarnationNumber = old.incarnationNumber;
        known.report.refutation = old.refutation;
        known.report.state = old.state;
        m_changed.insert(report.host);
    }
    if (isStateNewer) {
        known.report.incarnationNumber = report.incarnationNumber;
        known.report.refutation = report.refutation;
        known.report.state = report.state;
        queueUpdate(report.host);
    }
    if (isChanged)
        known.since = now;
    if (isRestNewer)
        clearSupersededClaims(&known);
    return isChanged;
}

void member_table::clearSupersededClaims(member *m)
{
    if (!m->report.seat)
        return;
    for (auto &[host, other] : m_members) {
        if (&other == m || other.report.dataCentre != m->report.dataCentre
            || other.report.seat != m->report.seat)
            continue;
        member *lower = other.report.seatEpoch < m->report.seatEpoch ? &other : m;
        lower->report.seat.reset();
        m_changed.insert(lower->report.host);
        if (lower == m)
            return;
    }
}

void member_table::setState(const host_id &host, member_state state, instant now)
{
    member &m = m_members.at(host);
    if (m.report.state == state)
        return;
    m.report.state = state;
    m.since = now;
    queueUpdate(host);
}

void member_table::setListed(const std::set<host_id> &listed)
{
    m_listed = listed;
    for (auto &[host, m] : m_members) {
        const bool isListed = listed.count(host) != 0;
        if (m.listed != isListed)
            m_changed.insert(host);
        m.listed = isListed;
    }
}

void member_table::removeExpired(instant now, duration unlisted, duration dead, bool hasHostList)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        const member &m = it->second;
        const duration age = now - m.since;
        const bool isDead = m.report.state == member_state::dead;
        const bool isForgotten = (m.report.state == member_state::left && age > leftRetention)
            || (isDead && age > dead) || (isDead && hasHostList && !m.listed && age > unlisted);
        if (!isForgotten) {
            ++it;
            continue;
        }
        m_gone.push_back(it->first);
        m_changed.erase(it->first);
        m_pendingUpdates.erase(it->first);
        it = m_members.erase(it);
    }
}

void member_table::queueUpdate(const host_id &host)
{
    int doublings = 1;
    for (std::size_t n = m_members.size() + 1; n > 1; n /= 2)
        ++doublings;
    m_pendingUpdates[host] = sendsPerDoubling * doublings;
    m_changed.insert(host);
}

void member_table::appendReports(std::vector<member_report> *reports, std::size_t limit,
                                 const host_id &except)
{
    const auto isIncluded = [&](const host_id &host) {
        return host == except
            || std::any_of(reports->begin(), reports->end(),
                           [&](const member_report &r) { return r.host == host; });
    };
    std::vector<std::pair<int, host_id>> updates;
    for (const auto &[host, left] : m_pendingUpdates) {
        if (!isIncluded(host))
            updates.emplace_back(-left, host);
    }
    std::sort(updates.begin(), updates.end());
    for (const auto &[left, host] : updates) {
        if (reports->size() >= limit)
            return;
        reports->push_back(m_members.at(host).report);
        if (--m_pendingUpdates[host] == 0)
            m_pendingUpdates.erase(host);
    }
    auto next = m_members.upper_bound(m_lastSent);
    for (std::size_t i = 0; i < m_members.size() && reports->size() < limit; ++i, ++next) {
        if (next == m_members.end())
            next = m_members.begin();
        m_lastSent = next->first;
        if (isLiving(next->second.report.state) && !isIncluded(next->first))
            reports->push_back(next->second.report);
    }
}

std::vector<member> member_table::takeChanges(std::vector<host_id> *removed)
{
    std::vector<member> changed;
    for (const host_id &host : m_changed)
        changed.push_back(m_members.at(host));
    m_changed.clear();
    *removed = std::move(m_gone);
    m_gone.clear();
    return changed;
}

} // namespace crocuswind
