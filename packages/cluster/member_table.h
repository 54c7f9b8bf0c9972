/// Defines the table of members and the rules by which reports change it.
#ifndef CROCUSWIND_CLUSTER_MEMBER_TABLE_H
#define CROCUSWIND_CLUSTER_MEMBER_TABLE_H

#include "membership_types.h"

#include <map>
#include <set>
#include <vector>

namespace crocuswind {

/// The state of all other members in this host's view, and the queue of updates to send about them.
class member_table
{
public:
    /// Returns all members by name.
    const std::map<host_id, member> &members() const { return m_members; }

    /// Returns a member, or a null pointer.
    const member *find(const host_id &host) const;

    /// Applies those fields of a report that are newer than the known ones. State and refutation
    /// are ordered by incarnation, refutation and state; all other fields by incarnation and
    /// heartbeat. An unknown host is added unless it is reported as dead or left. Returns true if
    /// the state or incarnation changed or if a suspicion is renewed after a refutation.
    bool merge(const member_report &report, instant now);

    /// Sets the state of a member and queues the update for dissemination.
    void setState(const host_id &host, member_state state, instant now);

    /// Records which members are in the host list.
    void setListed(const std::set<host_id> &listed);

    /// Removes members that left more than 60 s ago, that have been dead for longer than \p dead,
    /// or, if \p hasHostList, that have been dead for longer than
    /// \p unlisted and are not in the host list.
    void removeExpired(instant now, duration unlisted, duration dead, bool hasHostList);

    /// Appends reports to a digest until it holds \p limit: first queued updates, then the other
    /// living members in round-robin order, so that each is sent equally often. \p except is left
    /// out.
    void appendReports(std::vector<member_report> *reports, std::size_t limit,
                       const host_id &except);

    /// Returns the members that changed since the last call; \p removed receives the removed ones.
    std::vector<member> takeChanges(std::vector<host_id> *removed);

private:
    void clearSupersededClaims(member *m);
    void queueUpdate(const host_id &host);

    std::map<host_id, member> m_members;
    /// How many more times the report of each member is sent with priority.
    std::map<host_id, int> m_pendingUpdates;
    std::set<host_id> m_listed; ///< All hosts of the host list, members or not.
    host_id m_lastSent; ///< Last member sent in round-robin order.
    std::set<host_id> m_changed;
    std::vector<host_id> m_gone;
};

} // namespace crocuswind

#endif
