#ifndef NET_NET_H_
#define NET_NET_H_

// Public header of the net library: sockets and deadlines on the GLib main
// loop, and a budget for what clients hold.

#include "net/client_budget.h"
#include "net/loop_pauses.h"
#include "net/loop_timer.h"
#include "net/socket_poller.h"
#include "net/socket_queues.h"

#endif  // NET_NET_H_
