#ifndef HTTP_SERVER_OPTIONS_H_
#define HTTP_SERVER_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "core/core.h"
#include "net/net.h"

namespace comfreyshift {

class HttpRequest;

// Idle connections hold descriptors that others need.
inline constexpr Milliseconds kDefaultIdleTimeout{15'000};

// The largest body of a request, and the answer to larger ones.
struct BodyRule {
  uint64_t m_max_bytes = 0;
  int m_status = 413;
  std::string_view m_code = "body_too_large";
};

// What an HttpServer accepts from its clients. The defaults bound only bodies
// and idle connections.
struct HttpServerOptions {
  // The largest body on any path.
  uint64_t m_max_body_bytes = 0;
  // The largest body of a request that no route takes, by path and method.
  uint64_t m_max_unrouted_body_bytes = UINT64_MAX;
  // Decides from the head how large the body may be, instead of the two above.
  std::function<BodyRule(const HttpRequest&)> m_body_rule;

  // Header fields of a request, and their bytes. libsoup bounds a head at 100
  // KiB by itself, which holds 20,000 of the shortest fields.
  size_t m_max_head_fields = SIZE_MAX;
  size_t m_max_head_bytes = SIZE_MAX;
  // After this many pieces of a body (chunks, or what the network delivers at a
  // time), their mean must have at least `m_min_piece_bytes`.
  size_t m_max_small_pieces = SIZE_MAX;
  size_t m_min_piece_bytes = 0;

  // How long a connection may carry no request.
  Milliseconds m_idle_timeout = kDefaultIdleTimeout;
  // From the first byte of a head to its end.
  Milliseconds m_head_timeout = kDefaultIdleTimeout;
  // Time within which the next `m_min_body_progress` bytes of a body, or its
  // rest, must arrive.
  Milliseconds m_body_timeout = Milliseconds::max();
  size_t m_min_body_progress = 1;
  // Time within which the client must take in an answer.
  Milliseconds m_answer_timeout = Milliseconds::max();
  // How often deadlines are checked and the kernel is asked what it holds. At
  // zero, a third of the idle timeout.
  Milliseconds m_sweep_interval{0};

  // Size of the kernel's buffers of a connection; the kernel's choice at zero.
  int m_socket_buffer_bytes = 0;
  // What the connections of this server are charged to; without bounds if null.
  std::shared_ptr<ClientBudget> m_budget;
  // This many connections are accepted even if the budget has none left.
  size_t m_reserved_connections = 0;
  // Whether requests are answered even if the budget has no bytes left. For
  // requests that hold next to nothing.
  bool m_answers_over_budget = false;
};

}  // namespace comfreyshift

#endif  // HTTP_SERVER_OPTIONS_H_
