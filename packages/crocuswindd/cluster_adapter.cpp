#include "cluster_adapter.h"

#include <type_traits>

namespace crocuswind {

namespace {

/// Timeout of the read that fetches the current value after a watch has started.
constexpr duration watchReadTimeout = 2s;

/// Time without a change after which a store may report that nothing has changed. It may be long,
/// since the configuration changes rarely and no decision depends on its age.
constexpr duration configWatchMaxSilence = 10s;

session_settings sessionSettings(const host_context &context)
{
    session_settings settings;
    settings.self = context.settings.host;
    settings.incarnationNumber = context.incarnationNumber;
    settings.dataCentre = context.settings.dataCentre;
    settings.seats = context.settings.seats;
    return settings;
}

membership_settings membershipSettings(const host_context &context)
{
    membership_settings settings;
    settings.self = context.settings.host;
    settings.incarnationNumber = context.incarnationNumber;
    settings.dataCentre = context.settings.dataCentre;
    settings.address = context.settings.peerListen;
    for (const peer_setting &peer : context.settings.peers)
        settings.seeds.push_back(peer.address);
    settings.seed = context.random.next();
    return settings;
}

config_settings configSettings(const host_context &context)
{
    config_settings settings;
    settings.self = context.settings.host;
    settings.dataCentre = context.settings.dataCentre;
    return settings;
}

} // namespace

/// Creates this host's hello message for each link, and stores the latest hello of each peer.
class cluster_adapter::hello_exchange final : public peer_hello_codec
{
public:
    explicit hello_exchange(const host_context &context)
        : m_context(context)
    { }

    std::string helloFrame() override
    {
        return encodePeerMessage(peer_hello{m_context.settings.host, m_context.settings.dataCentre,
                                            m_context.settings.peerListen,
                                            m_context.incarnationNumber});
    }

    std::optional<host_id> parseHello(std::string_view frame) override
    {
        const auto message = decodePeerMessage(frame);
        if (!message || !std::holds_alternative<peer_hello>(*message))
            return std::nullopt;
        const peer_hello &hello = std::get<peer_hello>(*message);
        if (hello.host == m_context.settings.host)
            return std::nullopt;
        m_hellos[hello.host] = hello;
        return hello.host;
    }

    const peer_hello &helloOf(const host_id &host) const { return m_hellos.at(host); }

private:
    const host_context &m_context;
    std::map<host_id, peer_hello> m_hellos;
};

cluster_adapter::cluster_adapter(host_context &context, cluster_adapter_callbacks callbacks)
    : m_context(context)
    , m_callbacks(std::move(callbacks))
    , m_session(sessionSettings(context))
    , m_membership(membershipSettings(context))
    , m_config(configSettings(context))
    , m_sessionWake(context.loop)
    , m_membershipWake(context.loop)
    , m_configWake(context.loop)
    , m_hello(std::make_unique<hello_exchange>(context))
{
    peer_links_settings settings;
    settings.self = context.settings.host;
    peer_links_callbacks links;
    links.up = [this](const host_id &peer) {
        notifyMembership(membership_peer_hello{m_hello->helloOf(peer)});
    };
    links.down = [this](const host_id &peer) {
        notifyMembership(membership_link_down{peer});
        m_callbacks.peerLost(peer);
    };
    links.message = [this](const host_id &peer, std::string_view frame) { receive(peer, frame); };
    m_links = std::make_unique<peer_links>(context.loop, settings, *m_hello, context.random, links);
}

cluster_adapter::~cluster_adapter() = default;

tl::expected<ip_endpoint, std::string> cluster_adapter::listen()
{
    return m_links->listen(*parseEndpoint(m_context.settings.peerListen));
}

void cluster_adapter::start()
{
    // The core is created again because listen() may have replaced port 0 by the bound port, which
    // the core announces to the peers.
    m_membership = membership_core(membershipSettings(m_context));
    updateDialledPeers();
    notifyMembership(cluster_tick{});
    notifySession(cluster_tick{});
    notifyConfig(cluster_tick{});
}

void cluster_adapter::setHosts(const std::vector<listed_host> &hosts)
{
    membership_host_list event;
    m_listedPeers.clear();
    for (const listed_host &host : hosts) {
        const auto endpoint = parseEndpoint(host.peerAddress);
        if (host.kind != listed_host::host_kind::entry || !endpoint)
            continue;
        event.hosts.push_back(
            {host_id{host.name}, host.dataCentre, host.peerAddress, host.isLeaving});
        m_listedPeers[host_id{host.name}] = *endpoint;
    }
    updateDialledPeers();
    notifyMembership(std::move(event));
}

void cluster_adapter::updateDialledPeers()
{
    std::map<host_id, ip_endpoint> known = m_listedPeers;
    for (const peer_setting &peer : m_context.settings.peers)
        known.emplace(peer.host, *parseEndpoint(peer.address));
    for (const auto &[host, m] : m_membership.members()) {
        const auto endpoint = parseEndpoint(m.report.address);
        if (endpoint && m.report.state != member_state::left)
            known[host] = *endpoint;
    }
    known.erase(m_context.settings.host);
    std::vector<peer_address> peers;
    for (const auto &[host, endpoint] : known)
        peers.push_back({host, endpoint});
    m_links->setPeers(peers);
}

void cluster_adapter::setLoad(const membership_local_load &load)
{
    notifyMembership(load);
}

void cluster_adapter::announceLeaving()
{
    notifyMembership(membership_leave{false});
}

void cluster_adapter::release()
{
    notifySession(session_release{});
}

void cluster_adapter::announceLeft()
{
    notifyMembership(membership_leave{true});
}

void cluster_adapter::reportPause()
{
    notifySession(session_pause_detected{});
}

bool cluster_adapter::send(const host_id &to, const peer_message &message)
{
    const std::string frame = encodePeerMessage(message);
    const peer_send_result result = m_links->send(to, frame);
    if (result != peer_send_result::queued)
        return false;
    m_context.metrics.add("crocuswind_peer_bytes_total", {{"direction", "out"}},
                          double(frame.size()));
    return true;
}

void cluster_adapter::receive(const host_id &from, std::string_view frame)
{
    m_context.metrics.add("crocuswind_peer_bytes_total", {{"direction", "in"}},
                          double(frame.size()));
    const auto message = decodePeerMessage(frame);
    if (!message) {
        m_context.metrics.add("crocuswind_peer_messages_refused_total", {});
        m_log.warning("Invalid message from {}: {}", from.value, message.error().detail);
        return;
    }
    const auto handleOne = [this, &from](const auto &m) {
        using type = std::decay_t<decltype(m)>;
        if constexpr (std::is_constructible_v<membership_message, type>)
            notifyMembership(membership_peer_message{from, m});
        else if constexpr (std::is_constructible_v<urgent_message, type>)
            m_callbacks.urgentMessage(from, m);
        else if constexpr (std::is_same_v<type, forward_job>)
            m_callbacks.forwardJob(from, m);
        else if constexpr (std::is_same_v<type, job_answer>)
            m_callbacks.jobAnswer(from, m);
        else if constexpr (std::is_same_v<type, ask_config>)
            notifyConfig(config_copy_requested{from, m.above});
        else if constexpr (std::is_same_v<type, peer_config>)
            notifyConfig(config_copy{from, m.encoded});
    };
    std::visit(handleOne, *message);
}

void cluster_adapter::callStore(const cluster_store_call &call, const char *part,
                                std::function<void(cluster_store_answer)> done)
{
    const std::int64_t token = call.token;
    m_context.metrics.add("crocuswind_store_calls_total", {{"part", part}});
    m_context.platformStore.submit(call.operation, call.deadline,
                                   [token, done = std::move(done)](store_result result) {
                                       done(cluster_store_answer{token, std::move(result)});
                                   });
}

void cluster_adapter::feedSession(session_core::event event)
{
    const auto performOne = [this](const auto &action) {
        using type = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<type, cluster_store_call>)
            callStore(action, "session", [this](auto answer) { notifySession(std::move(answer)); });
        else if constexpr (std::is_same_v<type, cluster_wake_at>)
            m_sessionWake.set(action.when, [this] { notifySession(cluster_tick{}); });
        else
            perform(action);
    };
    for (const auto &action : m_session.handle(event))
        std::visit(performOne, action);
}

void cluster_adapter::feedMembership(membership_core::event event)
{
    const auto performOne = [this](const auto &action) {
        using type = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<type, cluster_wake_at>)
            m_membershipWake.set(action.when, [this] { notifyMembership(cluster_tick{}); });
        else
            perform(action);
    };
    for (const auto &action : m_membership.handle(event))
        std::visit(performOne, action);
}

void cluster_adapter::feedConfig(config_core::event event)
{
    const auto performOne = [this](const auto &action) {
        using type = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<type, cluster_store_call>)
            callStore(action, "config", [this](auto answer) { notifyConfig(std::move(answer)); });
        else if constexpr (std::is_same_v<type, cluster_wake_at>)
            m_configWake.set(action.when, [this] { notifyConfig(cluster_tick{}); });
        else
            perform(action);
    };
    for (const auto &action : m_config.handle(event))
        std::visit(performOne, action);
}

void cluster_adapter::perform(const session_changed &action)
{
    m_callbacks.session(action);
}

void cluster_adapter::perform(const seat_granted &action)
{
    m_callbacks.seatGranted(action);
}

void cluster_adapter::perform(const seat_lost &action)
{
    m_log.warning("The seat must no longer be used: {}", action.reason);
    m_callbacks.seatLost(action);
}

void cluster_adapter::perform(const session_claim_changed &action)
{
    notifyMembership(membership_local_claim{action.claim});
}

void cluster_adapter::perform(const cluster_seats_read &action)
{
    notifyMembership(action);
}

void cluster_adapter::perform(const session_released &)
{
    m_callbacks.released();
}

void cluster_adapter::perform(const membership_send &action)
{
    const auto sendOne = [this, &action](const auto &message) { send(action.to, message); };
    std::visit(sendOne, action.message);
}

void cluster_adapter::perform(const membership_contact_seed &)
{
    // peer_links connects to every configured peer on its own and sends the hello when the link is
    // established, so only the list of peers is updated.
    updateDialledPeers();
}

void cluster_adapter::perform(const members_changed &action)
{
    for (const member &m : action.changed) {
        const member_report &report = m.report;
        const bool isAlive
            = report.state == member_state::alive || report.state == member_state::suspect;
        notifyConfig(config_peer{report.host, report.dataCentre, isAlive, report.watching,
                                 report.configRevision});
        if (!isAlive)
            m_callbacks.peerLost(report.host);
    }
    for (const host_id &host : action.removed)
        notifyConfig(config_peer{host, {}, false, false, 0});
    updateDialledPeers();
    m_callbacks.membersChanged();
}

void cluster_adapter::perform(const cluster_peer_report &action)
{
    notifySession(action);
}

void cluster_adapter::perform(const cluster_local_peers &action)
{
    notifySession(action);
}

void cluster_adapter::perform(const config_start_watch &action)
{
    const std::int64_t watch = action.watch;
    m_context.metrics.add("crocuswind_store_calls_total", {{"part", "watch"}});
    m_watches[watch] = m_context.platformStore.watch(
        configCurrentKey, configWatchMaxSilence,
        [this, watch](const store_watch_update &update) { handleWatch(watch, update); });
}

void cluster_adapter::handleWatch(std::int64_t watch, const store_watch_update &update)
{
    if (m_watches.find(watch) == m_watches.end())
        return;
    switch (update.what) {
    case store_watch_update::kind::started:
        readWatchedKey(watch);
        break;
    case store_watch_update::kind::changed:
        for (const store_change &change : update.changes) {
            if (change.entry.key == configCurrentKey && !change.isDeleted)
                notifyConfig(config_watch_result{watch, change.entry});
        }
        break;
    case store_watch_update::kind::unchanged:
        break;
    case store_watch_update::kind::lost:
        notifyConfig(config_watch_ended{watch});
        break;
    }
}

void cluster_adapter::readWatchedKey(std::int64_t watch)
{
    m_context.metrics.add("crocuswind_store_calls_total", {{"part", "config"}});
    m_context.platformStore.submit(store_range{configCurrentKey, false},
                                   m_context.loop.now() + watchReadTimeout,
                                   [this, watch](const store_result &result) {
                                       if (m_watches.find(watch) == m_watches.end())
                                           return;
                                       if (!result) {
                                           notifyConfig(config_watch_ended{watch});
                                           return;
                                       }
                                       config_watch_result event{watch, std::nullopt};
                                       if (!result->entries.empty())
                                           event.entry = result->entries.front();
                                       notifyConfig(std::move(event));
                                   });
}

void cluster_adapter::perform(const config_stop_watch &action)
{
    const auto watch = m_watches.find(action.watch);
    if (watch == m_watches.end())
        return;
    m_context.platformStore.cancelWatch(watch->second);
    m_watches.erase(watch);
}

void cluster_adapter::perform(const config_request_copy &action)
{
    send(action.to, ask_config{action.above});
}

void cluster_adapter::perform(const config_send_copy &action)
{
    send(action.to, peer_config{action.encoded ? *action.encoded : std::string()});
}

void cluster_adapter::perform(const config_in_effect &action)
{
    m_log.info("Configuration revision {} is in effect.", action.config->revision);
    reportLocalConfig();
    m_callbacks.configInEffect(*action.config);
}

void cluster_adapter::perform(const config_watching_changed &action)
{
    m_isWatching = action.watching;
    reportLocalConfig();
}

void cluster_adapter::perform(const config_log &action)
{
    m_log.info("{}", action.line);
}

void cluster_adapter::reportLocalConfig()
{
    notifyMembership(membership_local_config{m_config.revision(), m_isWatching});
}

} // namespace crocuswind
