/// Public header of the jobs library, which runs the scheduler on the event loop.
#ifndef CROCUSWIND_JOBS_JOBS_H
#define CROCUSWIND_JOBS_JOBS_H

#include "job_host.h"
#include "job_router.h"
#include "prefix_mirror.h"
#include "worker_link.h"

#endif
