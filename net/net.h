#ifndef NET_NET_H_
#define NET_NET_H_

// Public header of the net library: sockets on the GLib main loop.

#include "net/socket_poller.h"

#endif  // NET_NET_H_
