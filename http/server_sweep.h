#ifndef HTTP_SERVER_SWEEP_H_
#define HTTP_SERVER_SWEEP_H_

#include <optional>

#include "http/server_connection.h"
#include "http/server_options.h"

namespace comfreyshift {

// Charges what a connection holds outside of this process's own buffers, and
// returns the deadline that it has missed, if any. Called for each connection
// at every sweep. A connection that is idle for too long is not reported.
std::optional<ClientLimit> SweepConnection(ServerConnection& connection,
                                           const HttpServerOptions& options,
                                           MonoTime now);

}  // namespace comfreyshift

#endif  // HTTP_SERVER_SWEEP_H_
