/// The public header of the I/O library: sockets, timers, signals and files on one libevent loop,
/// which runs on one thread. The library holds no scheduling logic. Everything that a peer can send
/// is bounded in size and count.
#ifndef CROCUSWIND_IO_IO_H
#define CROCUSWIND_IO_IO_H

#include "connection_metrics.h"
#include "endpoint.h"
#include "etcd_store.h"
#include "event_loop.h"
#include "host_list_client.h"
#include "http_client.h"
#include "http_message.h"
#include "http_server.h"
#include "log_output.h"
#include "logger.h"
#include "metrics_registry.h"
#include "peer_links.h"
#include "span_writer.h"
#include "store.h"
#include "tls_context.h"

#endif
