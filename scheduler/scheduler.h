#ifndef SCHEDULER_SCHEDULER_H_
#define SCHEDULER_SCHEDULER_H_

// Public header of the scheduler library: decides what an entry does with its
// clients' jobs. It does no I/O.

#include "scheduler/actions.h"
#include "scheduler/job_limits.h"
#include "scheduler/job_scheduler.h"

#endif  // SCHEDULER_SCHEDULER_H_
