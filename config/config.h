#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

// Public header of the config library: the replica of the configuration keys,
// edits as transactions, and the audit trail. It does no I/O; the store calls
// it needs are plain values.

#include "config/audit.h"
#include "config/edit.h"
#include "config/error.h"
#include "config/keys.h"
#include "config/replica.h"
#include "config/store_calls.h"

#endif  // CONFIG_CONFIG_H_
