#ifndef CORE_CORE_H_
#define CORE_CORE_H_

// Public header of the core library: clocks, identifiers, results, counters
// and histograms. It does no I/O and every other library may use it.

#include "core/address.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/histogram.h"
#include "core/ids.h"
#include "core/mac.h"
#include "core/result.h"
#include "core/socket_address.h"

#endif  // CORE_CORE_H_
