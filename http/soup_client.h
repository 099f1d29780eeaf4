#ifndef HTTP_SOUP_CLIENT_H_
#define HTTP_SOUP_CLIENT_H_

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>

#include "core/core.h"
#include "http/client.h"

// A type of libsoup, under the name its headers give it.
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
struct _SoupSession;

namespace comfreyshift {

class SoupCall;

// Calls to one HTTP or HTTPS server through libsoup. See HttpClient.
class SoupClient : public std::enable_shared_from_this<SoupClient> {
 public:
  explicit SoupClient(const HttpClientOptions& options);
  ~SoupClient();
  SoupClient(const SoupClient&) = delete;
  SoupClient& operator=(const SoupClient&) = delete;

  // Trusts the authorities of a PEM file.
  Result<void, HttpError> Trust(const std::filesystem::path& authorities);

  uint64_t Send(HttpCall call, HttpCallback callback);
  void Cancel(uint64_t id);
  // Ends the calls in progress without calling back.
  void Abandon();

 private:
  std::string m_base_url;
  uint64_t m_max_answer_bytes;
  _SoupSession* m_session;
  std::map<uint64_t, std::shared_ptr<SoupCall>> m_calls;
  uint64_t m_next_id = 1;
};

}  // namespace comfreyshift

#endif  // HTTP_SOUP_CLIENT_H_
