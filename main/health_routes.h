#ifndef MAIN_HEALTH_ROUTES_H_
#define MAIN_HEALTH_ROUTES_H_

#include <functional>
#include <string>

#include "http/http.h"

namespace comfreyshift {

// Adds `/healthz`, `/readyz` and `/metrics`, which need no token.
void AddHealthRoutes(HttpServer& server,
                     std::function<bool()> is_ready,
                     std::function<std::string()> metrics);

}  // namespace comfreyshift

#endif  // MAIN_HEALTH_ROUTES_H_
