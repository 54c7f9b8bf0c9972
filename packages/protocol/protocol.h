/// The public header of the protocol library: how values travel as text and bytes.
#ifndef CROCUSWIND_PROTOCOL_PROTOCOL_H
#define CROCUSWIND_PROTOCOL_PROTOCOL_H

#include "host_list_body.h"
#include "metrics_text.h"
#include "span_bodies.h"
#include "store_bodies.h"

#endif
