/// The public header of the protocol library: how values travel as text and bytes, in files and in
/// the bodies of the usual protocols. It has no I/O.
#ifndef CROCUSWIND_PROTOCOL_PROTOCOL_H
#define CROCUSWIND_PROTOCOL_PROTOCOL_H

#include "caller_bodies.h"
#include "host_list_body.h"
#include "metrics_text.h"
#include "span_bodies.h"
#include "store_bodies.h"
#include "worker_bodies.h"
#include "workload_checks.h"
#include "workload_file.h"

#endif
