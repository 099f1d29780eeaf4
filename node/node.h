#ifndef NODE_NODE_H_
#define NODE_NODE_H_

// Public header of the node library: what both roles share. Datagrams, peers,
// the replica of the configuration and the main loop's ticks.

#include "node/datagram_socket.h"
#include "node/process_node.h"

#endif  // NODE_NODE_H_
