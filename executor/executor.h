#ifndef EXECUTOR_EXECUTOR_H_
#define EXECUTOR_EXECUTOR_H_

// Public header of the executor library: decides what an agent does with its
// runner. It does no I/O.

#include "executor/actions.h"
#include "executor/run_executor.h"
#include "executor/runner_observation.h"

#endif  // EXECUTOR_EXECUTOR_H_
