#ifndef HTTP_HTTP_H_
#define HTTP_HTTP_H_

// Public header of the http library: an HTTP server and client on libsoup. All
// of it runs on the thread-default GLib main context of the calling thread.

#include "http/client.h"
#include "http/error.h"
#include "http/request.h"
#include "http/server.h"
#include "http/token.h"

#endif  // HTTP_HTTP_H_
