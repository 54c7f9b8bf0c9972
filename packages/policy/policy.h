/// Public header of the decisions that need plain values only: no scheduler state, no clock, no
/// I/O.
#ifndef CROCUSWIND_POLICY_POLICY_H
#define CROCUSWIND_POLICY_POLICY_H

#include "load_forecast.h"

#endif
