/// Defines the state machine with which entry hosts find each other and notice failures.
#ifndef CROCUSWIND_CLUSTER_MEMBERSHIP_CORE_H
#define CROCUSWIND_CLUSTER_MEMBERSHIP_CORE_H

#include "membership_types.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswind {

/// The settings of `membership_core`.
struct membership_settings
{
    host_id self;
    incarnation life = 0; ///< This life of the process.
    data_centre_id dataCentre;
    std::string address; ///< Where peers reach this host.
    std::vector<std::string> seeds; ///< Addresses from the settings (`--peer`).
    std::uint64_t seed = 0; ///< Of the random source.
    duration probePause = 500ms;
    duration localTimeout = 250ms; ///< Wait for an answer from the own data centre.
    duration remoteTimeout = 500ms; ///< Wait for an answer from another data centre.
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

/// Action: these members have changed; `gone` ones are forgotten.
struct members_changed
{
    std::vector<member> changed;
    std::vector<host_id> gone;
};

/// Keeps this host's view of all entry hosts by probing and gossip (after SWIM).
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
                     membership_local_claim, cluster_seats_learned, membership_local_config,
                     membership_leave>
            what;
    };
    using action = std::variant<membership_send, membership_contact_seed, members_changed,
                                cluster_peer_heard, cluster_local_peers, cluster_wake_at>;

    explicit membership_core(membership_settings settings);

    /// Handles one event and returns what is to be done, in order.
    std::vector<action> handle(const event &e);

    /// Returns all other members, whatever their state, by name.
    const std::map<host_id, member> &members() const { return m_members; }

    /// Returns the expected wait for \p service that a member reported, if it did.
    static std::optional<duration> expectedWait(const member &m, const service_id &service);

private:
    std::map<host_id, member> m_members;
};

} // namespace crocuswind

#endif
