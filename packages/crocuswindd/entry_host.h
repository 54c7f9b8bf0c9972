/// Defines one entry host, which creates and connects the adapters and controls the sequence of
/// startup and graceful shutdown.
#ifndef CROCUSWIND_CROCUSWINDD_ENTRY_HOST_H
#define CROCUSWIND_CROCUSWINDD_ENTRY_HOST_H

#include "batch_adapter.h"
#include "cluster_adapter.h"
#include "host_context.h"
#include "host_pages.h"
#include "request_adapter.h"

#include <memory>
#include <set>
#include <string>

namespace crocuswind {

/// All state of the daemon. Everything runs on one event loop.
class entry_host
{
public:
    entry_host(event_loop &loop, const daemon_settings &settings);
    ~entry_host();

    /// Opens the ports and starts all adapters. Returns an error message if a port cannot be
    /// opened.
    tl::expected<void, std::string> start();

    /// Starts a graceful shutdown: reports not ready, drains requests and shards, releases the seat
    /// and the lease, announces that it has left, and stops the loop. Further calls have no effect.
    void drain();

private:
    void handle(const http_request &request, const http_responder &responder);
    void answerHealth(const http_responder &responder) const;
    void answerReady(const http_responder &responder) const;
    void answerMetrics(const http_responder &responder);
    void answerStatus(const http_responder &responder) const;
    std::string notReadyReason() const;
    host_page_sources pageSources() const;
    void applyHostList(const tl::expected<host_list, std::string> &list);
    void applyConfig(const config_set &config);
    void applyMembers();
    void reportLoad();
    void releaseIfDrained();
    void finish();
    request_adapter_callbacks requestCallbacks();
    batch_adapter_callbacks batchCallbacks();
    cluster_adapter_callbacks clusterCallbacks();

    event_loop &m_loop;
    daemon_settings m_settings;
    seeded_random m_random;
    metrics_registry m_metrics;
    http_client m_client;
    etcd_store m_store;
    span_writer m_spans;
    host_context m_context;
    logger m_log{"host"};
    cluster_adapter m_cluster;
    request_adapter m_requests;
    batch_adapter m_batch;
    http_server m_server;
    std::unique_ptr<host_list_client> m_hostList;
    std::set<service_id> m_configuredServices;
    bool m_isHostListKnown = false;
    bool m_isDraining = false;
    bool m_areRequestsDrained = false;
    bool m_isBatchDrained = false;
    bool m_isReleasing = false;
};

} // namespace crocuswind

#endif
