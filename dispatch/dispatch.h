#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

// Public header of the dispatch library. The library decides which agent owns
// the partition of a submission, starts each task at most once and composes the
// job's answer. It does no I/O: the caller performs the returned actions.

#include "dispatch/messages.h"
#include "dispatch/owner.h"
#include "dispatch/partition_table.h"
#include "dispatch/starter.h"

#endif  // DISPATCH_DISPATCH_H_
