#ifndef ENTRY_ENTRY_H_
#define ENTRY_ENTRY_H_

// Public header of the entry library: the role that serves callers and
// operators over HTTP.

#include "entry/caller_api.h"
#include "entry/entry_process.h"
#include "entry/operator_api.h"

#endif  // ENTRY_ENTRY_H_
