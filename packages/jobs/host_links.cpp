#include "host_links.h"

#include <utility>

namespace crocuswind {

using namespace scheduler;

namespace {

constexpr duration pingInterval = 500ms;
constexpr duration peerSilenceTimeout = 1600ms;

// The first byte of a frame between entry hosts tells its kind.
constexpr char callFrameTag = 'C';
constexpr char replyFrameTag = 'R';
constexpr char offerFrameTag = 'O'; ///< Offer to relay commands.
constexpr char commandsFrameTag = 'W'; ///< Commands to relay.
constexpr char resultsFrameTag = 'V'; ///< Results of relayed commands.
constexpr char storeCallFrameTag = 'S'; ///< A call to the store for an owner that the store fails.
constexpr char storeHelpFrameTag = 'H'; ///< The answer to such a call.
constexpr char ownerNewsFrameTag = 'N'; ///< Which host owns the jobs.

/// All hosts keep a link to the owner.
constexpr std::size_t maxAcceptedLinks = 2000;

peer_links_settings linkSettings(const host_id &self)
{
    peer_links_settings links;
    links.self = self;
    links.pingInterval = pingInterval;
    links.receiveTimeout = peerSilenceTimeout;
    links.handshakeTimeout = 1s;
    links.maxRetryDelay = 500ms;
    links.maxAcceptedLinks = maxAcceptedLinks;
    return links;
}

template <class value, class function>
bool handleDecoded(const std::optional<value> &decoded, function handle)
{
    if (decoded)
        handle(*decoded);
    return decoded.has_value();
}

} // namespace

host_links::name_hello::name_hello(host_id self)
    : m_self(std::move(self))
{ }

std::string host_links::name_hello::helloFrame()
{
    return "crocuswind " + m_self.value;
}

std::optional<host_id> host_links::name_hello::parseHello(std::string_view frame)
{
    constexpr std::string_view prefix = "crocuswind ";
    if (frame.substr(0, prefix.size()) != prefix || frame.size() == prefix.size())
        return std::nullopt;
    return host_id{std::string(frame.substr(prefix.size()))};
}

host_links::host_links(event_loop &loop, const logger &log, const host_id &self,
                       random_source &random, host_links_callbacks callbacks)
    : m_log(log)
    , m_callbacks(std::move(callbacks))
    , m_hello(self)
    , m_links(loop, linkSettings(self), m_hello, random,
              {[this](const host_id &peer) { m_callbacks.up(peer); },
               [this](const host_id &peer) { m_callbacks.down(peer); },
               [this](const host_id &peer, std::string_view frame) { onFrame(peer, frame); }})
{ }

tl::expected<ip_endpoint, std::string> host_links::listen(const ip_endpoint &where)
{
    return m_links.listen(where);
}

void host_links::setPeers(const std::vector<peer_address> &peers)
{
    m_links.setPeers(peers);
}

bool host_links::isUp(const host_id &peer) const
{
    return m_links.isUp(peer);
}

std::optional<instant> host_links::lastHeard(const host_id &peer) const
{
    return m_links.lastReceived(peer);
}

std::vector<host_id> host_links::peersUp() const
{
    return m_links.peersUp();
}

bool host_links::sendCall(const host_id &peer, const job_call &call)
{
    return sendFrame(peer, callFrameTag, encodeCall(call));
}

void host_links::sendReply(const host_id &peer, const job_reply &reply)
{
    sendFrame(peer, replyFrameTag, encodeReply(reply));
}

void host_links::sendOffer(const host_id &peer, const relay_offer &offer)
{
    sendFrame(peer, offerFrameTag, encodeOffer(offer));
}

bool host_links::sendCommands(const host_id &peer, const std::string &bytes)
{
    return sendFrame(peer, commandsFrameTag, bytes);
}

void host_links::sendResults(const host_id &peer, const std::string &bytes)
{
    sendFrame(peer, resultsFrameTag, bytes);
}

bool host_links::sendStoreCall(const host_id &peer, const helped_store_call &call)
{
    return sendFrame(peer, storeCallFrameTag, encodeStoreCall(call));
}

bool host_links::sendStoreHelp(const host_id &peer, const store_help &help)
{
    return sendFrame(peer, storeHelpFrameTag, encodeStoreHelp(help));
}

void host_links::sendOwnerNews(const host_id &peer, const owner_info &owner)
{
    sendFrame(peer, ownerNewsFrameTag, encodeOwnerNews(owner));
}

bool host_links::sendFrame(const host_id &peer, char tag, const std::string &bytes)
{
    return m_links.send(peer, tag + bytes) == peer_send_result::queued;
}

void host_links::onFrame(const host_id &peer, std::string_view frame)
{
    if (!frame.empty() && !handleFrame(peer, frame.front(), frame.substr(1)))
        m_log.warning("event=bad_frame peer={} bytes={}", peer.value, frame.size());
}

// Returns false if the frame is malformed.
bool host_links::handleFrame(const host_id &peer, char tag, std::string_view bytes)
{
    switch (tag) {
    case callFrameTag:
        return handleDecoded(decodeCall(bytes),
                             [&](const job_call &call) { m_callbacks.call(peer, call); });
    case replyFrameTag:
        return handleDecoded(decodeReply(bytes),
                             [&](const job_reply &reply) { m_callbacks.reply(peer, reply); });
    case offerFrameTag:
        return handleDecoded(decodeOffer(bytes),
                             [&](const relay_offer &offer) { m_callbacks.offer(peer, offer); });
    case commandsFrameTag:
        return m_callbacks.commands(peer, bytes);
    case resultsFrameTag:
        return m_callbacks.results(bytes);
    case storeCallFrameTag:
        return handleDecoded(decodeStoreCall(bytes), [&](const helped_store_call &call) {
            m_callbacks.storeCall(peer, call);
        });
    case storeHelpFrameTag:
        return handleDecoded(decodeStoreHelp(bytes),
                             [&](const store_help &help) { m_callbacks.storeHelp(peer, help); });
    case ownerNewsFrameTag:
        return handleDecoded(decodeOwnerNews(bytes),
                             [&](const owner_info &owner) { m_callbacks.ownerNews(peer, owner); });
    default:
        return false;
    }
}

} // namespace crocuswind
