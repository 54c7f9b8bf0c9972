/// Defines the state machine for membership and failure detection of entry hosts.
#ifndef CROCUSWIND_CLUSTER_MEMBERSHIP_CORE_H
#define CROCUSWIND_CLUSTER_MEMBERSHIP_CORE_H

#include "member_table.h"
#include "membership_types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace crocuswind {

/// The settings of `membership_core`.
struct membership_settings
{
    host_id self;
    incarnation incarnationNumber = 0; ///< Incarnation of this process.
    data_centre_id dataCentre;
    std::string address; ///< Address at which peers reach this host.
    std::vector<std::string> seeds; ///< Addresses of peers from the settings (`--peer`).
    std::uint64_t seed = 0; ///< Seed of the random source.
    duration probeInterval = 500ms;
    /// Timeout of a direct probe, and again of the indirect probes, within the data centre.
    /// Failures must be detected within 3 s: up to 1 s until the failed host is probed, twice this
    /// timeout and the suspicion of 1.5 s add up to 2.8 s.
    duration localTimeout = 150ms;
    duration remoteTimeout = 500ms; ///< The same timeout for other data centres.
    /// Time after which a suspect that has not refuted the suspicion is declared dead.
    duration suspicion = 1500ms;
    /// Interval between attempts to contact seeds that are not members yet.
    duration seedContactInterval = 2s;
    /// A dead member that is not in the host list is removed after this time.
    duration forgetUnlisted = 120s;
    /// Any dead member is removed after this time, which exceeds the duration of partitions.
    duration forgetDead = 1800s;
};

/// Event: a link to a peer is up and the peer has sent its hello.
struct membership_peer_hello
{
    peer_hello hello;
};

/// Event: a membership message from a peer.
struct membership_peer_message
{
    host_id from;
    membership_message message;
};

/// Event: the link to a peer broke or could not be opened. This causes a probe; it does not prove
/// that the peer has failed.
struct membership_link_down
{
    host_id host;
};

/// One entry host of the platform's host list.
struct listed_entry_host
{
    host_id host;
    data_centre_id dataCentre;
    std::string address;
    bool leaving = false;
};

/// Event: the entry hosts of the host list. The list may be out of date; an empty list is ignored.
struct membership_host_list
{
    std::vector<listed_entry_host> hosts;
};

/// Event: this host's load and its expected wait by service, for all services of the configuration.
struct membership_local_load
{
    int loadPercent = 0;
    std::map<service_id, duration> waits;
};

/// Event: the seat that this host holds, from `session_claim_changed`.
struct membership_local_claim
{
    std::optional<seat_claim> claim;
};

/// Event: this host's configuration revision and whether it watches the store.
struct membership_local_config
{
    std::int64_t revision = 0;
    bool watching = false;
};

/// Event: this host starts to drain, or, if `left`, shuts down, which is sent to all peers
/// immediately.
struct membership_leave
{
    bool left = false;
};

/// Action: send a message to a peer.
struct membership_send
{
    host_id to;
    std::string address;
    membership_message message;
};

/// Action: open a link to this address and exchange `peer_hello` messages.
struct membership_contact_seed
{
    std::string address;
};

/// Action: the members in `changed` have changed and those in `removed` have been removed.
struct members_changed
{
    std::vector<member> changed;
    std::vector<host_id> removed;
};

/// Maintains this host's view of all entry hosts by probing and gossip, based on SWIM.
///
/// Twice a second it probes a peer of its own data centre, alternately its successor in the order
/// of names and a peer in random round-robin order, and once a second a peer of another data
/// centre. A host is declared dead only by hosts that have probed it themselves; all other hosts
/// accept their report.
/// \see A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent infection-style process
/// group membership protocol", 2002.
class membership_core
{
public:
    struct event
    {
        instant now;
        std::variant<cluster_tick, membership_peer_hello, membership_peer_message,
                     membership_link_down, membership_host_list, membership_local_load,
                     membership_local_claim, cluster_seats_read, membership_local_config,
                     membership_leave>
            what;
    };
    using action = std::variant<membership_send, membership_contact_seed, members_changed,
                                cluster_peer_report, cluster_local_peers, cluster_wake_at>;

    explicit membership_core(membership_settings settings);

    /// Handles one event and returns the resulting actions, in order.
    std::vector<action> handle(const event &e);

    /// Returns all other members, whatever their state, by name.
    const std::map<host_id, member> &members() const { return m_table.members(); }

    /// Returns the hello message of this host for a new link.
    peer_hello hello() const;

    /// Returns the expected wait for \p service that a member reported, or nothing if it reported
    /// none.
    static std::optional<duration> expectedWait(const member &m, const service_id &service);

private:
    /// A probe that has not been answered yet.
    struct pending_probe
    {
        host_id target;
        instant sent;
        instant deadline;
        bool isIndirect = false; ///< Indirect probes of the target have been requested.
        /// Host that requested this indirect probe; empty for a probe of this host's own.
        host_id origin;
        std::int64_t originSequence = 0;
    };

    void on(const cluster_tick &);
    void on(const membership_peer_hello &e);
    void on(const membership_peer_message &e);
    void on(const membership_link_down &e);
    void on(const membership_host_list &e);
    void on(const membership_local_load &e);
    void on(const membership_local_claim &e);
    void on(const cluster_seats_read &e);
    void on(const membership_local_config &e);
    void on(const membership_leave &e);

    void receive(const host_id &from, const membership_probe &m);
    void receive(const host_id &from, const membership_probe_answer &m);
    void receive(const host_id &from, const membership_indirect_probe &m);

    void recoverFromPause();
    void runProbeRound();
    void probe(const host_id &target, const host_id &origin = {}, std::int64_t sequence = 0);
    void notify(const host_id &to, const member_report *subject);
    void notifyLocal(const member_report *subject);
    void checkProbes();
    void sendIndirectProbes(std::int64_t sequence, const pending_probe &p);
    void checkSuspicions();
    void contactSeeds();
    void send(const host_id &to, membership_message message);

    void applyReport(const member_report &report);
    void refute(const member_report &report);
    void applyDigest(const host_id &from, const member_digest &digest);
    void applySeatClaims(const host_id &from, const std::vector<seat_claim> &claims);
    void suspect(const host_id &host);
    member_digest digestFor(const host_id &to, std::size_t limit);
    void appendSeatClaims(member_digest *digest, const host_id &to) const;
    bool isLocal(const host_id &host) const;
    std::optional<host_id> ringSuccessor() const;
    std::optional<host_id> nextRoundRobin(std::vector<host_id> *queue,
                                          const std::function<bool(const member &)> &matches);
    void shuffle(std::vector<host_id> *hosts);
    std::vector<host_id> hostsMatching(const std::function<bool(const member &)> &matches) const;
    bool isAddressKnown(const std::string &address) const;
    duration timeoutFor(const host_id &host) const;
    std::vector<host_id> localPeers() const;
    void reportLocalPeers();
    void checkSeatsReportedByPeers();
    instant nextWake() const;

    membership_settings m_settings;
    seeded_random m_random;
    instant m_now;
    std::vector<action> m_actions;
    std::optional<instant> m_plannedWake;

    member_report m_self;
    member_table m_table;
    std::map<host_id, instant> m_suspicions; ///< When this host declares each suspect dead.

    std::int64_t m_lastSequence = 0;
    std::map<std::int64_t, pending_probe> m_probes;
    instant m_nextRound;
    std::int64_t m_round = 0;
    /// Local members still to be probed in the current round-robin pass.
    std::vector<host_id> m_localQueue;
    std::vector<host_id> m_remoteQueue;
    std::vector<host_id> m_deadQueue;
    /// Until then dead members are probed more often, because one of them has come back.
    instant m_healingUntil;

    std::map<host_id, listed_entry_host> m_listed;
    std::size_t m_seedIndex = 0;
    instant m_nextSeedContact;

    bool m_areSeatsKnown = false;
    std::map<int, seat_claim> m_seats;
    std::set<host_id> m_seatsReportedBy; ///< Peers that have reported the seats of the data centre.
    /// Local peers that have not acknowledged this host's claim.
    std::set<host_id> m_unacknowledged;
    std::optional<std::vector<host_id>> m_reportedPeers;
};

} // namespace crocuswind

#endif
