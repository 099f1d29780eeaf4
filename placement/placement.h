#ifndef PLACEMENT_PLACEMENT_H_
#define PLACEMENT_PLACEMENT_H_

// Public header of the placement library, which admits jobs and chooses a
// target for each of their tasks.

#include "placement/admission.h"
#include "placement/placer.h"
#include "placement/retry_budget.h"
#include "placement/start_queue.h"

#endif  // PLACEMENT_PLACEMENT_H_
