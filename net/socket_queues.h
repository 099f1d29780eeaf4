#ifndef NET_SOCKET_QUEUES_H_
#define NET_SOCKET_QUEUES_H_

#include <cstddef>

namespace comfreyshift {

// Bytes that the kernel has received on a TCP connection since it was opened;
// 0 if it does not tell.
size_t ReceivedBytes(int socket);

// Bytes received and not yet read, and bytes written and not yet acknowledged
// by the peer. The kernel's memory for them counts towards that of the
// machine.
size_t QueuedBytes(int socket);

// Fixes the size of the kernel's buffers of a socket, or of those accepted from
// it if it listens. The kernel uses up to twice as much; without this it grows
// them to several megabytes.
void BoundSocketBuffers(int socket, int bytes);

}  // namespace comfreyshift

#endif  // NET_SOCKET_QUEUES_H_
