/// The public header of the scheduler library: jobs and their steps, placement of tasks on workers
/// under leases, and the election of the host that owns the jobs. Everything is a state machine
/// without I/O.
#ifndef CROCUSWIND_SCHEDULER_SCHEDULER_H
#define CROCUSWIND_SCHEDULER_SCHEDULER_H

#include "command_codec.h"
#include "job_calls.h"
#include "job_model.h"
#include "job_record.h"
#include "owner_election.h"
#include "record_codec.h"
#include "relay_assignment.h"
#include "scheduler_core.h"
#include "scheduler_ports.h"
#include "store_call_codec.h"
#include "worker_record.h"

#endif
