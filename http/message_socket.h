#ifndef HTTP_MESSAGE_SOCKET_H_
#define HTTP_MESSAGE_SOCKET_H_

#include <libsoup/soup.h>

namespace comfreyshift {

// libsoup knows no socket of connections that it has not accepted itself, so
// the remote address, which it keeps with the connection, carries the socket.
void AttachSocket(GSocketAddress* remote, GSocket* socket);

// Returns the socket below a message, or null.
GSocket* SocketOf(SoupServerMessage* message);

}  // namespace comfreyshift

#endif  // HTTP_MESSAGE_SOCKET_H_
