/// The public header of the policy library: decisions that need plain values only. They have no
/// state of the scheduler, no clock and no I/O.
#ifndef CROCUSWIND_POLICY_POLICY_H
#define CROCUSWIND_POLICY_POLICY_H

#include "admission.h"
#include "call_patience.h"
#include "connection_budget.h"
#include "duty_order.h"
#include "overload_triage.h"
#include "owner_standing.h"
#include "retry_spread.h"
#include "room_rate.h"
#include "run_time_model.h"

#endif
