#ifndef HTTP_HTTP_H_
#define HTTP_HTTP_H_

// Public header of the http library: an HTTP server on libsoup and a client.
// All of it runs on the default GLib main context.

#include "http/call.h"
#include "http/client.h"
#include "http/connection_watch.h"
#include "http/error.h"
#include "http/request.h"
#include "http/route_table.h"
#include "http/server.h"
#include "http/server_options.h"
#include "http/token.h"

#endif  // HTTP_HTTP_H_
