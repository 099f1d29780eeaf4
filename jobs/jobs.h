#ifndef JOBS_JOBS_H_
#define JOBS_JOBS_H_

// Public header of the jobs library: values shared by entries and agents that
// describe jobs, runs, runners and the configuration. It does no I/O.

#include "jobs/config.h"
#include "jobs/job.h"
#include "jobs/leases.h"
#include "jobs/run.h"
#include "jobs/runner.h"
#include "jobs/shared_text.h"

#endif  // JOBS_JOBS_H_
