#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

// Public header of the config library: the calls of the key-value store as
// plain values. It does no I/O.

#include "config/store_calls.h"

#endif  // CONFIG_CONFIG_H_
