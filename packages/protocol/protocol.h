/// The public header of the protocol library: formats of files, bodies and messages that the parts
/// exchange. It parses and formats text and bytes and has no I/O.
#ifndef CROCUSWIND_PROTOCOL_PROTOCOL_H
#define CROCUSWIND_PROTOCOL_PROTOCOL_H

#include "host_list_body.h"
#include "metrics_text.h"
#include "span_bodies.h"
#include "store_bodies.h"
#include "worker_bodies.h"

#endif
