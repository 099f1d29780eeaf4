#include "main/health_routes.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyshift {

namespace {

using RequestPtr = std::shared_ptr<HttpRequest>;

constexpr char kPrometheusType[] = "text/plain; version=0.0.4";

}  // namespace

void AddHealthRoutes(HttpServer& server,
                     std::function<bool()> is_ready,
                     std::function<std::string()> metrics) {
  server.AddRoute("GET", "/healthz", PublicAccess{},
                  [](const RequestPtr& request) {
                    request->ReplyJson(200, {{"healthy", true}});
                  });
  server.AddRoute(
      "GET", "/readyz", PublicAccess{},
      [is_ready = std::move(is_ready)](const RequestPtr& request) {
        if (is_ready()) {
          request->ReplyJson(200, {{"ready", true}});
        } else {
          request->ReplyJson(503, {{"ready", false}, {"reason", "cut_off"}});
        }
      });
  server.AddRoute("GET", "/metrics", PublicAccess{},
                  [metrics = std::move(metrics)](const RequestPtr& request) {
                    request->Reply(200, kPrometheusType, metrics());
                  });
}

}  // namespace comfreyshift
