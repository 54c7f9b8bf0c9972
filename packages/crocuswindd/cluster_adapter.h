/// Defines the adapter that connects the cluster cores to the store, the other entry hosts and the
/// host list. It also transports the peer messages of the request and batch adapters. It performs
/// I/O only; all decisions are made by the cores.
#ifndef CROCUSWIND_CROCUSWINDD_CLUSTER_ADAPTER_H
#define CROCUSWIND_CROCUSWINDD_CLUSTER_ADAPTER_H

#include "host_context.h"

#include "cluster/cluster.h"
#include "protocol/peer_codec.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocuswind {

/// The functions of the daemon that the adapter calls on changes and on received messages.
struct cluster_adapter_callbacks
{
    std::function<void(const session_changed &)> session;
    std::function<void(const seat_granted &)> seatGranted;
    std::function<void(const seat_lost &)> seatLost;
    std::function<void()> membersChanged;
    std::function<void(const host_id &)> peerLost;
    std::function<void(const config_set &)> configInEffect;
    std::function<void()> released; ///< Called when the seat and the lease are released.
    std::function<void(const host_id &from, const urgent_message &)> urgentMessage;
    std::function<void(const host_id &from, const forward_job &)> forwardJob;
    std::function<void(const host_id &from, const job_answer &)> jobAnswer;
};

/// Passes events to session_core, membership_core and config_core, performs their actions, and owns
/// the peer links.
class cluster_adapter
{
public:
    cluster_adapter(host_context &context, cluster_adapter_callbacks callbacks);
    ~cluster_adapter();

    /// Starts to listen for peers. Returns the bound endpoint, or an error message.
    tl::expected<ip_endpoint, std::string> listen();

    /// Starts to probe peers, to claim a seat and to fetch the configuration. Must follow listen(),
    /// since peers are told the bound address.
    void start();

    /// Replaces the listed peers by the entry hosts in \p hosts.
    void setHosts(const std::vector<listed_host> &hosts);

    /// Sets this host's load, which gossip spreads to the peers.
    void setLoad(const membership_local_load &load);

    /// Announces to the peers that this host starts to drain.
    void announceLeaving();

    /// Releases the seat and the lease; the `released` callback follows.
    void release();

    /// Announces to the peers that this host has left the cluster. Afterwards the membership core
    /// ignores all events and sends nothing.
    void announceLeft();

    /// Notifies the session core that the process was paused, since its lease may have expired
    /// meanwhile.
    void reportPause();

    /// Queues a message on the link to \p to. Returns false if it was not queued.
    bool send(const host_id &to, const peer_message &message);

    const membership_core &membership() const { return m_membership; }
    const config_core &config() const { return m_config; }

    /// Returns one sentence on the seat for the status page.
    std::string seatStatus() const { return m_session.status(m_context.loop.now()); }

    /// Returns the peers with an established link.
    std::vector<host_id> linkedPeers() const { return m_links->peersUp(); }

private:
    class hello_exchange;

    void feedSession(session_core::event event);
    void feedMembership(membership_core::event event);
    void feedConfig(config_core::event event);

    template <class what>
    void notifySession(what event)
    {
        feedSession({m_context.loop.now(), std::move(event)});
    }
    template <class what>
    void notifyMembership(what event)
    {
        feedMembership({m_context.loop.now(), std::move(event)});
    }
    template <class what>
    void notifyConfig(what event)
    {
        feedConfig({m_context.loop.now(), std::move(event)});
    }

    void perform(const session_changed &action);
    void perform(const seat_granted &action);
    void perform(const seat_lost &action);
    void perform(const session_claim_changed &action);
    void perform(const cluster_seats_read &action);
    void perform(const session_released &action);
    void perform(const membership_send &action);
    void perform(const membership_contact_seed &action);
    void perform(const members_changed &action);
    void perform(const cluster_peer_report &action);
    void perform(const cluster_local_peers &action);
    void perform(const config_start_watch &action);
    void perform(const config_stop_watch &action);
    void perform(const config_request_copy &action);
    void perform(const config_send_copy &action);
    void perform(const config_in_effect &action);
    void perform(const config_watching_changed &action);
    void perform(const config_log &action);
    void callStore(const cluster_store_call &call, const char *part,
                   std::function<void(cluster_store_answer)> done);
    void readWatchedKey(std::int64_t watch);
    void handleWatch(std::int64_t watch, const store_watch_update &update);
    void reportLocalConfig();
    void receive(const host_id &from, std::string_view frame);
    void updateDialledPeers();

    host_context &m_context;
    cluster_adapter_callbacks m_callbacks;
    logger m_log{"cluster"};
    session_core m_session;
    membership_core m_membership;
    config_core m_config;
    wake_timer m_sessionWake;
    wake_timer m_membershipWake;
    wake_timer m_configWake;
    std::unique_ptr<hello_exchange> m_hello;
    std::unique_ptr<peer_links> m_links;
    std::map<host_id, ip_endpoint> m_listedPeers;
    std::map<std::int64_t, store_watch_id> m_watches;
    bool m_isWatching = false;
};

} // namespace crocuswind

#endif
