#ifndef FLEET_FLEET_H_
#define FLEET_FLEET_H_

// Public header of the fleet library: entries and agents with their connections
// and timers on the GLib main loop. It does not depend on the platform.

#include "fleet/agent_node.h"
#include "fleet/entry_node.h"
#include "fleet/graceful_main_loop.h"
#include "fleet/known_operator_state.h"
#include "fleet/node_metrics.h"
#include "fleet/operator_state_peer.h"
#include "fleet/process_signals.h"
#include "fleet/start_log.h"
#include "fleet/store_relay.h"
#include "fleet/ticker.h"

#endif  // FLEET_FLEET_H_
