/// Public header of the protocol library: the formats of files, HTTP bodies and peer messages. The
/// library parses and formats text and bytes and performs no I/O.
#ifndef CROCUSWIND_PROTOCOL_PROTOCOL_H
#define CROCUSWIND_PROTOCOL_PROTOCOL_H

#include "caller_bodies.h"
#include "host_list_body.h"
#include "metrics_text.h"
#include "peer_codec.h"
#include "span_bodies.h"
#include "store_bodies.h"
#include "worker_bodies.h"
#include "workload_checks.h"
#include "workload_file.h"

#endif
