/// The public header of the policy library: decisions under load that need plain values only. They
/// know no scheduler state, read no clock and do no I/O.
#ifndef CROCUSWIND_POLICY_POLICY_H
#define CROCUSWIND_POLICY_POLICY_H

#include "admission.h"
#include "overload_triage.h"
#include "retry_spread.h"
#include "room_rate.h"
#include "run_time_model.h"

#endif
