/// The public header of the policy library: decisions that need plain values only. They know no
/// clock, no scheduler state and no I/O.
#ifndef CROCUSWIND_POLICY_POLICY_H
#define CROCUSWIND_POLICY_POLICY_H

#include "duty_order.h"

#endif
