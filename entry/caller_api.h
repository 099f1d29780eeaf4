#ifndef ENTRY_CALLER_API_H_
#define ENTRY_CALLER_API_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"
#include "entry/entry_process.h"
#include "http/http.h"

namespace comfreyshift {

struct CallerApiConfig {
  Milliseconds m_retention = std::chrono::minutes(10);
};

// The HTTP routes for callers, as docs/api.md describes them.
class CallerApi {
 public:
  // `entry` must outlive the routes.
  CallerApi(CallerApiConfig config, EntryProcess& entry);

  // Adds the routes to `server`, which must not outlive this object.
  void AddRoutes(HttpServer& server);

 private:
  using RequestPtr = std::shared_ptr<HttpRequest>;

  void PostJob(const RequestPtr& request);
  void PostRequest(const RequestPtr& request);
  void GetJob(const RequestPtr& request);
  void CancelJob(const RequestPtr& request);
  void Run(const RequestPtr& request, Submission submission);
  const std::vector<ClientToken>& Tokens();

  CallerApiConfig m_config;
  EntryProcess& m_entry;
  std::mt19937_64 m_random;
  std::vector<ClientToken> m_tokens;
  Revision m_tokens_revision = 0;
};

}  // namespace comfreyshift

#endif  // ENTRY_CALLER_API_H_
