/// Exports what the connections of a server hold, and how often their limits took effect, as
/// metrics.
#ifndef CROCUSWIND_IO_CONNECTION_METRICS_H
#define CROCUSWIND_IO_CONNECTION_METRICS_H

#include "http_server.h"
#include "metrics_registry.h"

namespace crocuswind {

/// Sets the metrics of a server, with its name as the label `server`.
void setConnectionMetrics(metrics_registry &metrics, const http_server &server);

} // namespace crocuswind

#endif
