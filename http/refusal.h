#ifndef HTTP_REFUSAL_H_
#define HTTP_REFUSAL_H_

#include <gio/gio.h>

#include <string>

#include "net/net.h"

namespace comfreyshift {

// The answer to a request that is not taken.
struct Refusal {
  int m_status = 0;
  std::string m_code;
};

// Returns the answer to a client that has met a limit of the budget or a
// deadline.
Refusal RefusalFor(ClientLimit limit);

// Writes the answer to the socket and ends the connection in both directions.
// libsoup answers only when a whole request is read. Must not be used once an
// answer to the request has begun, or above TLS.
void RefuseOnSocket(GSocket* socket, const Refusal& refusal);

}  // namespace comfreyshift

#endif  // HTTP_REFUSAL_H_
