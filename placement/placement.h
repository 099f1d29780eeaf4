#ifndef PLACEMENT_PLACEMENT_H_
#define PLACEMENT_PLACEMENT_H_

// Public header of the placement library: which target gets a task, and which
// tasks are admitted at all.

#include "placement/admission.h"
#include "placement/placer.h"
#include "placement/retry_budget.h"
#include "placement/start_queue.h"

#endif  // PLACEMENT_PLACEMENT_H_
