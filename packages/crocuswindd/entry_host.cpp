#include "entry_host.h"

#include <algorithm>

namespace crocuswind {

namespace {

/// Expected network round-trip time to a peer before the first measurement. Links within a data
/// centre take well under a millisecond, those between data centres 4 to 5 ms one way.
constexpr duration localRoundTrip = 1ms;
constexpr duration remoteRoundTrip = 10ms;

/// Interval at which the load and the expected waiting times are passed to the gossip.
constexpr duration loadInterval = 500ms;

/// Time beyond the configured drain limits after which a shutdown is forced.
constexpr duration drainMargin = 5s;

http_client_settings clientSettings()
{
    http_client_settings settings;
    // A worker needs one connection. For runners, the request adapter replaces this limit by this
    // host's share of the runner's connections.
    settings.maxConnectionsPerEndpoint = 4;
    return settings;
}

http_server_settings serverSettings()
{
    http_server_settings settings;
    settings.name = "callers";
    return settings;
}

etcd_store_settings storeSettings(const daemon_settings &settings)
{
    etcd_store_settings result;
    result.endpoints = {*parseEndpoint(settings.store)};
    return result;
}

span_resource spanResource(const daemon_settings &settings)
{
    span_resource resource;
    resource.instance = settings.host.value;
    resource.attributes = {{"data_centre", settings.dataCentre.value}};
    return resource;
}

incarnation currentIncarnation(const event_loop &loop)
{
    return loop.unixMicroseconds(loop.now());
}

} // namespace

entry_host::entry_host(event_loop &loop, const daemon_settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_random(stableHash(settings.host.value, std::uint64_t(currentIncarnation(loop))))
    , m_client(loop, clientSettings())
    , m_store(loop, storeSettings(settings), m_random)
    , m_spans(loop, settings.spanDescriptor, spanResource(settings))
    , m_context{loop,      m_settings, currentIncarnation(loop), m_client, m_store, m_spans,
                m_metrics, m_random}
    , m_cluster(m_context, clusterCallbacks())
    , m_requests(m_context, requestCallbacks())
    , m_batch(m_context, batchCallbacks())
    , m_server(loop, serverSettings(), [this](http_request request, http_responder responder) {
        handle(request, responder);
    })
{
    describeMetrics(m_metrics);
}

entry_host::~entry_host() = default;

request_adapter_callbacks entry_host::requestCallbacks()
{
    request_adapter_callbacks callbacks;
    callbacks.sendToPeer = [this](const host_id &to, const urgent_message &message) {
        return std::visit([&](const auto &m) { return m_cluster.send(to, m); }, message);
    };
    callbacks.drained = [this] {
        m_areRequestsDrained = true;
        releaseIfDrained();
    };
    return callbacks;
}

batch_adapter_callbacks entry_host::batchCallbacks()
{
    batch_adapter_callbacks callbacks;
    callbacks.forwardJob = [this](const host_id &to, const shard_id &shard, std::uint64_t token,
                                  const std::string &body) {
        return m_cluster.send(to, forward_job{shard, token, body});
    };
    callbacks.answerJob = [this](const host_id &to, const shard_id &shard, std::uint64_t token,
                                 const std::string &body) {
        m_cluster.send(to, job_answer{shard, token, body});
    };
    callbacks.drained = [this] {
        m_isBatchDrained = true;
        releaseIfDrained();
    };
    return callbacks;
}

cluster_adapter_callbacks entry_host::clusterCallbacks()
{
    cluster_adapter_callbacks callbacks;
    callbacks.session = [this](const session_changed &session) {
        m_batch.feedAll(shard_session{session.lease, session.validUntil});
    };
    callbacks.seatGranted = [this](const seat_granted &seat) {
        // The session core grants the seat only after the requests of its previous holder must have
        // ended.
        m_requests.feed(urgent_seat_granted{seat.seat, seat.seats, seat.usableUntil, true});
    };
    callbacks.seatLost = [this](const seat_lost &) { m_requests.feed(urgent_seat_lost{}); };
    callbacks.membersChanged = [this] { applyMembers(); };
    callbacks.peerLost = [this](const host_id &host) {
        m_requests.feed(urgent_peer_lost{host});
        m_batch.peerLost(host);
    };
    callbacks.configInEffect = [this](const config_set &config) { applyConfig(config); };
    callbacks.released = [this] { finish(); };
    callbacks.urgentMessage = [this](const host_id &from, const urgent_message &message) {
        m_requests.feed(urgent_message_received{from, message});
    };
    callbacks.forwardJob = [this](const host_id &from, const forward_job &call) {
        m_batch.receiveCall(from, call.shard.index, call.token, call.body);
    };
    callbacks.jobAnswer = [this](const host_id &, const job_answer &answer) {
        m_batch.receiveAnswer(answer.token, answer.body);
    };
    return callbacks;
}

tl::expected<void, std::string> entry_host::start()
{
    const auto peers = m_cluster.listen();
    if (!peers)
        return tl::unexpected("cannot listen for peers: " + peers.error());
    m_settings.peerListen = toString(*peers);
    const auto callers = m_server.listen(*parseEndpoint(m_settings.listen));
    if (!callers)
        return tl::unexpected("cannot listen for callers: " + callers.error());
    m_settings.listen = toString(*callers);
    m_log.info("Listening on {} for callers and on {} for peers.", m_settings.listen,
               m_settings.peerListen);

    m_loop.onPause([this](duration late) {
        m_log.warning("The process was paused for {} ms.",
                      std::chrono::duration_cast<std::chrono::milliseconds>(late).count());
        m_cluster.reportPause();
    });
    applyMembers();
    m_cluster.start();
    m_batch.feedAll(shard_tick{});
    host_list_client_settings hosts;
    hosts.endpoint = *parseEndpoint(m_settings.hostList);
    m_hostList = std::make_unique<host_list_client>(
        m_loop, hosts, [this](const auto &list) { applyHostList(list); });
    reportLoad();
    return {};
}

void entry_host::applyHostList(const tl::expected<host_list, std::string> &list)
{
    if (!list) {
        m_log.warning("Cannot read the host list: {}", list.error());
        return;
    }
    for (const std::string &fault : list->faults)
        m_log.warning("Ignored an invalid entry of the host list: {}", fault);
    m_isHostListKnown = true;
    m_requests.setRunners(list->hosts);
    m_batch.setWorkers(list->hosts);
    m_cluster.setHosts(list->hosts);
}

void entry_host::applyConfig(const config_set &config)
{
    std::vector<workload_source> sources;
    for (const config_file &file : config.files)
        sources.push_back({file.name, file.text});
    const auto workloads = parseWorkloadFiles(sources);
    if (!workloads) {
        // `crocuswind publish` validates the files, so only another program can have written an
        // invalid set.
        m_log.error(
            "Revision {} is not valid; teams and services of the previous one stay in use:\n{}",
            config.revision, toString(workloads.error()));
        return;
    }
    m_configuredServices.clear();
    urgent_quotas_applied urgent;
    shard_quotas batch;
    for (const workload_team &team : workloads->teams) {
        urgent.teams.push_back({team.team, team.urgentWeight});
        batch.quotas.push_back({team.team, std::max<std::int64_t>(team.quota.milliCores, 1)});
    }
    for (const workload_service &service : workloads->services) {
        urgent_service_listing listing;
        listing.service = service_id{service.common.name};
        if (service.expectedMs > 0)
            listing.expectedServiceTime = std::chrono::milliseconds(service.expectedMs);
        m_configuredServices.insert(listing.service);
        urgent.services.push_back(listing);
    }
    m_requests.feed(std::move(urgent));
    m_batch.feedAll(batch);
}

void entry_host::applyMembers()
{
    urgent_peers_listed peers;
    shard_hosts hosts;
    hosts.hosts.push_back(m_settings.host);
    std::set<service_id> services = m_configuredServices;
    services.insert(m_requests.services().begin(), m_requests.services().end());
    for (const auto &[host, m] : m_cluster.membership().members()) {
        const member_report &report = m.report;
        if (report.state != member_state::alive && report.state != member_state::suspect)
            continue;
        const bool isLocal = report.dataCentre == m_settings.dataCentre;
        if (isLocal && !report.leaving)
            hosts.hosts.push_back(host);
        urgent_peer_listing peer;
        peer.host = host;
        peer.epoch = report.incarnationNumber;
        peer.dataCentre = report.dataCentre;
        peer.hasSeat = report.seat.has_value();
        peer.isDraining = report.leaving;
        peer.roundTrip = isLocal ? localRoundTrip : remoteRoundTrip;
        for (const service_id &service : services) {
            const auto wait = membership_core::expectedWait(m, service);
            if (wait)
                peer.expectedWait.emplace_back(service, *wait);
        }
        peers.peers.push_back(std::move(peer));
    }
    std::sort(hosts.hosts.begin(), hosts.hosts.end());
    m_requests.feed(std::move(peers));
    m_batch.feedAll(hosts);
}

void entry_host::reportLoad()
{
    membership_local_load load;
    const request_counts counts = m_requests.core().counts();
    if (counts.slots > 0)
        load.loadPercent = int(100 * counts.slotsTaken / counts.slots);
    for (const auto &[service, wait] : m_requests.core().expectedWaits())
        load.waits[service] = wait;
    m_cluster.setLoad(load);
    m_loop.callAt(m_loop.now() + loadInterval, [this] { reportLoad(); });
}

void entry_host::handle(const http_request &request, const http_responder &responder)
{
    if (request.path == "/healthz")
        answerHealth(responder);
    else if (request.path == "/readyz")
        answerReady(responder);
    else if (request.path == "/metrics")
        answerMetrics(responder);
    else if (request.path == "/v1/status")
        answerStatus(responder);
    else if (!m_requests.handle(request, responder) && !m_batch.handle(request, responder))
        responder.answer(errorResponse(404, "there is nothing at " + request.path));
}

void entry_host::answerHealth(const http_responder &responder) const
{
    responder.answer({200, "text/plain", {}, "the event loop runs\n"});
}

std::string entry_host::notReadyReason() const
{
    if (m_isDraining)
        return "this host is draining";
    if (m_cluster.config().revision() == 0)
        return m_cluster.config().notReadyReason();
    if (!m_isHostListKnown)
        return "the host list has not been read yet";
    std::string reason;
    m_requests.core().isReady(&reason);
    return reason;
}

void entry_host::answerReady(const http_responder &responder) const
{
    const std::string reason = notReadyReason();
    if (reason.empty())
        responder.answer({200, "text/plain", {}, "ready\n"});
    else
        responder.answer({503, "text/plain", {}, "not ready: " + reason + "\n"});
}

host_page_sources entry_host::pageSources() const
{
    return {m_settings,       m_context.incarnationNumber,
            m_cluster,        m_requests.core().counts(),
            m_batch.status(), notReadyReason()};
}

void entry_host::answerMetrics(const http_responder &responder)
{
    setGauges(m_metrics, pageSources());
    setConnectionMetrics(m_metrics, m_server);
    responder.answer({200, metricsContentType, {}, m_metrics.text()});
}

void entry_host::answerStatus(const http_responder &responder) const
{
    http_response response;
    response.body = statusBody(pageSources());
    responder.answer(response);
}

void entry_host::drain()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_log.info("Draining.");
    m_cluster.announceLeaving();
    m_batch.feedAll(shard_drain{});
    m_requests.feed(urgent_drain{});
    const duration limit
        = std::chrono::milliseconds(m_settings.balancerDelayMs + m_settings.drainLimitMs)
        + drainMargin;
    m_loop.callAt(m_loop.now() + limit, [this] {
        m_log.warning("The drain exceeded its time limit; stopping now.");
        m_loop.stop();
    });
}

void entry_host::releaseIfDrained()
{
    if (!m_areRequestsDrained || !m_isBatchDrained || m_isReleasing)
        return;
    m_isReleasing = true;
    m_server.stopAccepting();
    m_cluster.release();
}

void entry_host::finish()
{
    m_cluster.announceLeft();
    m_log.info("Drained; stopping.");
    // Keeps the loop running for 100 ms, so that it writes the last messages and answers.
    m_loop.callAt(m_loop.now() + 100ms, [this] { m_loop.stop(); });
}

} // namespace crocuswind
