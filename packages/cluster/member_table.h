/// Defines the table of members and the rules by which reports change it.
#ifndef CROCUSWIND_CLUSTER_MEMBER_TABLE_H
#define CROCUSWIND_CLUSTER_MEMBER_TABLE_H

#include "membership_types.h"

#include <map>
#include <set>
#include <vector>

namespace crocuswind {

/// All other members as this host sees them, and what is to be spread about them.
class member_table
{
public:
    /// Returns all members by name.
    const std::map<host_id, member> &members() const { return m_members; }

    /// Returns a member, or a null pointer.
    const member *find(const host_id &host) const;

    /// Takes a report over as far as it is newer. State and refutation are ordered by incarnation,
    /// refutation and state; all else by incarnation and beat. A host that was not known is added
    /// unless it is reported as dead or left. Returns whether the state or
    /// incarnation changed, or a suspicion is renewed after a refutation.
    bool merge(const member_report &report, instant now);

    /// Sets the state of a member and spreads it.
    void setState(const host_id &host, member_state state, instant now);

    /// Marks which members the host list names.
    void setListed(const std::set<host_id> &listed);

    /// Removes members that have been dead or have left for long.
    void forget(instant now, duration unlisted, duration dead, bool hasHostList);

    /// Appends up to \p limit reports to a digest: first news, then the other living members in
    /// turn, so that each is told of equally often. \p except is left out.
    void fill(std::vector<member_report> *reports, std::size_t limit, const host_id &except);

    /// Returns the members that changed since the last call, and in \p gone those removed.
    std::vector<member> takeChanges(std::vector<host_id> *gone);

private:
    void dropLowerClaims(member *m);
    void spread(const host_id &host);

    std::map<host_id, member> m_members;
    std::map<host_id, int> m_news; ///< How often each is still to be told with priority.
    host_id m_cursor; ///< Last member told of in turn.
    std::set<host_id> m_changed;
    std::vector<host_id> m_gone;
};

} // namespace crocuswind

#endif
