/// Defines the messages that entry hosts exchange about jobs, and the links that carry them.
#ifndef CROCUSWIND_JOBS_HOST_LINKS_H
#define CROCUSWIND_JOBS_HOST_LINKS_H

#include "io/io.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crocuswind {

/// Notifications of the links to their user. They are called from the event loop.
struct host_links_callbacks
{
    /// A link to the peer has become usable.
    std::function<void(const host_id &peer)> up;
    /// The last usable link to the peer was closed.
    std::function<void(const host_id &peer)> down;
    /// The peer forwards a call to this host.
    std::function<void(const host_id &peer, const scheduler::job_call &call)> call;
    /// The peer replies to a call of this host.
    std::function<void(const host_id &peer, const scheduler::job_reply &reply)> reply;
    /// The peer offers to relay commands, or withdraws the offer.
    std::function<void(const host_id &peer, const scheduler::relay_offer &offer)> offer;
    /// The peer sends encoded commands to relay. Returns false if they are malformed.
    std::function<bool(const host_id &peer, std::string_view bytes)> commands;
    /// A peer sends encoded results of relayed commands. Returns false if they are malformed.
    std::function<bool(std::string_view bytes)> results;
    /// The peer, an owner that the store fails, asks for a call to the store.
    std::function<void(const host_id &peer, const scheduler::helped_store_call &call)> storeCall;
    /// The peer answers such a call of this host.
    std::function<void(const host_id &peer, const scheduler::store_help &help)> storeHelp;
    /// The peer tells which host owns the jobs.
    std::function<void(const host_id &peer, const scheduler::owner_info &owner)> ownerNews;
};

/// The links of one entry host to the others. The first byte of each frame tells the kind of its
/// message. A malformed frame is logged and dropped.
class host_links
{
public:
    /// \p log and \p random must outlive the links.
    host_links(event_loop &loop, const logger &log, const host_id &self, random_source &random,
               host_links_callbacks callbacks);
    host_links(const host_links &) = delete;
    host_links &operator=(const host_links &) = delete;

    /// Listens for other entry hosts. Returns the actual endpoint or an error message.
    tl::expected<ip_endpoint, std::string> listen(const ip_endpoint &where);

    /// Replaces the set of peers to which this host keeps a link.
    void setPeers(const std::vector<peer_address> &peers);

    /// Returns whether a link to the peer is usable.
    bool isUp(const host_id &peer) const;

    /// Returns when the peer was last heard; nothing without a usable link.
    std::optional<instant> lastHeard(const host_id &peer) const;

    /// Returns the peers with a usable link.
    std::vector<host_id> peersUp() const;

    /// Forwards a call. Returns false if it was not sent.
    bool sendCall(const host_id &peer, const scheduler::job_call &call);
    /// Sends the reply to a call of the peer. It is lost if no link is usable.
    void sendReply(const host_id &peer, const scheduler::job_reply &reply);
    /// Offers to the peer to relay its commands, or withdraws the offer.
    void sendOffer(const host_id &peer, const scheduler::relay_offer &offer);
    /// Sends encoded commands for the peer to relay. Returns false if they were not sent.
    bool sendCommands(const host_id &peer, const std::string &bytes);
    /// Sends encoded results of commands that the peer had this host relay.
    void sendResults(const host_id &peer, const std::string &bytes);
    /// Asks the peer for a call to the store. Returns false if it was not sent.
    bool sendStoreCall(const host_id &peer, const scheduler::helped_store_call &call);
    /// Answers such a call of the peer. Returns false if it was not sent.
    bool sendStoreHelp(const host_id &peer, const scheduler::store_help &help);
    /// Tells the peer which host owns the jobs.
    void sendOwnerNews(const host_id &peer, const scheduler::owner_info &owner);

private:
    /// Encodes the hello frame between entry hosts, which carries the name of the sender.
    class name_hello final : public peer_hello_codec
    {
    public:
        explicit name_hello(host_id self);
        std::string helloFrame() override;
        std::optional<host_id> parseHello(std::string_view frame) override;

    private:
        host_id m_self;
    };

    bool sendFrame(const host_id &peer, char tag, const std::string &bytes);
    void onFrame(const host_id &peer, std::string_view frame);
    bool handleFrame(const host_id &peer, char tag, std::string_view bytes);

    const logger &m_log;
    host_links_callbacks m_callbacks;
    name_hello m_hello;
    peer_links m_links;
};

} // namespace crocuswind

#endif
