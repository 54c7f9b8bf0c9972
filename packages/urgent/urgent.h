/// The public header of the urgent request path: a pure state machine that issues identifiers,
/// keeps truthful outcomes, admits, queues, routes and retries requests, and obeys the capacity
/// shares of the runners (design 2.3, 2.4 and 2.9).
#ifndef CROCUSWIND_URGENT_URGENT_H
#define CROCUSWIND_URGENT_URGENT_H

#include "peer_messages.h"
#include "request_core.h"
#include "request_outcome.h"
#include "urgent_actions.h"
#include "urgent_events.h"
#include "urgent_settings.h"

#endif
