#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

// Public header of the dispatch library: who owns a submission, which tasks of
// it were started, and what its answer is. It does no I/O.

#include "dispatch/messages.h"
#include "dispatch/owner.h"
#include "dispatch/partition_table.h"
#include "dispatch/starter.h"

#endif  // DISPATCH_DISPATCH_H_
