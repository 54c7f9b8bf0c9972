/// Defines the state machine with which entry hosts find each other and notice failures.
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
    incarnation incarnationNumber = 0; ///< This life of the process.
    data_centre_id dataCentre;
    std::string address; ///< Where peers reach this host.
    std::vector<std::string> seeds; ///< Addresses from the settings (`--peer`).
    std::uint64_t seed = 0; ///< Of the random source.
    duration probePause = 500ms;
    /// Wait for a direct answer, and again for an indirect one, from the own data centre. The
    /// limit of 3 s from a failure to its discovery leaves no more: 1 s between the probes of one
    /// host, twice this, and the suspicion.
    duration localTimeout = 150ms;
    duration remoteTimeout = 500ms; ///< The same for other data centres.
    duration suspicion = 1500ms; ///< From suspect to dead without a refutation.
    duration seedPause = 2s; ///< Between contacts to a seed that is not yet a member.
    duration forgetUnlisted = 120s; ///< A dead member that no host list names is forgotten.
    duration forgetDead = 1800s; ///< Any dead member is forgotten, longer than partitions last.
};

/// Event: a link to this host is up and it has introduced itself.
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

/// Event: the link to a peer broke or could not be opened. It is a reason to probe, not a proof.
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

/// Event: the entry hosts of the host list. It lags, and an empty one is ignored.
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

/// Event: this host begins to drain (`leaving`), or ends (`left`, sent to all peers at once).
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

/// Action: open a link to this address and exchange `peer_hello`.
struct membership_contact_seed
{
    std::string address;
};

/// Action: these members have changed; `removed` ones are forgotten.
struct members_changed
{
    std::vector<member> changed;
    std::vector<host_id> removed;
};

/// Keeps this host's view of all entry hosts by probing and gossip (after SWIM).
///
/// Twice a second it probes a peer of its own data centre, alternately the next one in the order of
/// names and one in turn, and once a second a peer of another data centre. A host is declared dead
/// only by hosts that have probed it themselves; everyone else believes their report.
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

    /// Handles one event and returns what is to be done, in order.
    std::vector<action> handle(const event &e);

    /// Returns all other members, whatever their state, by name.
    const std::map<host_id, member> &members() const { return m_table.members(); }

    /// Returns this host's introduction for a new link.
    peer_hello hello() const;

    /// Returns the expected wait for \p service that a member reported, if it did.
    static std::optional<duration> expectedWait(const member &m, const service_id &service);

private:
    /// A probe without an answer so far.
    struct pending_probe
    {
        host_id target;
        instant sent;
        instant deadline;
        bool isIndirect = false; ///< Others have been asked to probe the target as well.
        host_id origin; ///< On whose behalf the target is probed; empty for an own probe.
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

    void forgivePause();
    void probeInTurn();
    void probe(const host_id &target, const host_id &origin = {}, std::int64_t sequence = 0);
    void notify(const host_id &to, const member_report *subject);
    void notifyLocal(const member_report *subject);
    void checkProbes();
    void askOthers(std::int64_t sequence, const pending_probe &p);
    void checkSuspicions();
    void contactSeeds();
    void send(const host_id &to, membership_message message);

    void take(const member_report &report);
    void refute(const member_report &report);
    void takeDigest(const host_id &from, const member_digest &digest);
    void takeSeats(const host_id &from, const std::vector<seat_claim> &claims);
    void suspect(const host_id &host);
    member_digest digestFor(const host_id &to, std::size_t limit);
    void addSeats(member_digest *digest, const host_id &to) const;
    bool isLocal(const host_id &host) const;
    std::optional<host_id> ringSuccessor() const;
    std::optional<host_id> nextInTurn(std::vector<host_id> *turn,
                                      const std::function<bool(const member &)> &isMeant);
    void shuffle(std::vector<host_id> *hosts);
    std::vector<host_id> hostsThat(const std::function<bool(const member &)> &isMeant) const;
    bool isAddressKnown(const std::string &address) const;
    duration timeoutFor(const host_id &host) const;
    std::vector<host_id> localPeers() const;
    void reportLocalPeers();
    void learnSeatsFromPeers();
    instant nextWake() const;

    membership_settings m_settings;
    seeded_random m_random;
    instant m_now;
    std::vector<action> m_actions;
    std::optional<instant> m_plannedWake;

    member_report m_self;
    member_table m_table;
    std::map<host_id, instant> m_suspicions; ///< When each suspect is declared dead by this host.

    std::int64_t m_lastSequence = 0;
    std::map<std::int64_t, pending_probe> m_probes;
    instant m_nextTurn;
    std::int64_t m_turn = 0;
    std::vector<host_id> m_localTurn; ///< Who is still to be probed in this round.
    std::vector<host_id> m_remoteTurn;
    std::vector<host_id> m_deadTurn;
    instant m_healingUntil; ///< A dead member has come back, so others may as well.

    std::map<host_id, listed_entry_host> m_listed;
    std::size_t m_seedTurn = 0;
    instant m_nextSeedContact;

    bool m_areSeatsKnown = false;
    std::map<int, seat_claim> m_seats;
    std::set<host_id> m_seatsHeardFrom; ///< Peers that have told the seats they know.
    std::set<host_id> m_unacknowledged; ///< Local peers that may not know this host's claim.
    std::optional<std::vector<host_id>> m_reportedPeers;
};

} // namespace crocuswind

#endif
