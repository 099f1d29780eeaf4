#ifndef RPC_RPC_H_
#define RPC_RPC_H_

// Public header of the rpc library: calls between the processes of the system,
// by Cap'n Proto RPC over TCP on the GLib main loop.

#include "rpc/peer_client.h"
#include "rpc/peer_messages.h"
#include "rpc/peer_server.h"
#include "rpc/rpc_runtime.h"

#endif  // RPC_RPC_H_
