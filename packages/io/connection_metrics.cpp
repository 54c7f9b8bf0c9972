#include "connection_metrics.h"

namespace crocuswind {

void setConnectionMetrics(metrics_registry &metrics, const http_server &server)
{
    const connection_counters &c = server.connectionCounters();
    const std::string &name = server.name();
    const auto closed = [&](const char *reason, std::uint64_t total) {
        metrics.setTotal("crocuswind_connections_closed_total",
                         {{"server", name}, {"reason", reason}}, double(total));
    };
    metrics.set("crocuswind_connections", {{"server", name}}, double(server.openConnections()));
    metrics.set("crocuswind_connections_held_bytes", {{"server", name}},
                double(server.heldBytes()));
    metrics.setTotal("crocuswind_connections_paused_total", {{"server", name}}, double(c.paused));
    metrics.setTotal("crocuswind_connections_waited_total", {{"server", name}},
                     double(c.waitedForRoom));
    closed("unread", c.closedUnread);
    closed("memory", c.closedForMemory);
    closed("others", c.closedForOthers);
}

} // namespace crocuswind
