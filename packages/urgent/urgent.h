/// The public header of the urgent request path: a state machine without I/O that issues request
/// identifiers, records outcomes, admits, queues, routes and retries requests, and limits this
/// host to its share of the runners' capacity (design 2.3, 2.4 and 2.9).
#ifndef CROCUSWIND_URGENT_URGENT_H
#define CROCUSWIND_URGENT_URGENT_H

#include "peer_messages.h"
#include "request_core.h"
#include "request_outcome.h"
#include "urgent_actions.h"
#include "urgent_events.h"
#include "urgent_settings.h"

#endif
