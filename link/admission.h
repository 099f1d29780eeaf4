#ifndef LINK_ADMISSION_H_
#define LINK_ADMISSION_H_

#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "core/core.h"
#include "net/net.h"

namespace comfreyshift {

// Accepted connections that have not said Hello. When one more is accepted, the
// oldest is closed, so that a crowd cannot lock out entries.
inline constexpr size_t kMaxPendingLinks = 64;
// From the accept to the Hello, which an entry sends at once.
inline constexpr Milliseconds kHelloTimeout{5000};
// Bytes that may wait for the first whole frame. It carries the Hello and the
// state that an entry sends with it, no starts.
inline constexpr size_t kMaxFirstFrameBytes = size_t{256} << 10;
// A connection that has said Hello may be closed in favor of others only while
// it holds more than this. Frames of ordinary work are smaller, or pass at
// once.
inline constexpr size_t kMaxProtectedLinkBytes = size_t{64} << 10;

// Bounds the connections that a LinkListener accepts.
class LinkAdmission {
 public:
  // Closes a connection that has said no Hello.
  using CloseFunction = std::function<void()>;

  explicit LinkAdmission(std::shared_ptr<ClientBudget> budget,
                         Milliseconds hello_timeout = kHelloTimeout)
      : m_budget(std::move(budget)), m_hello_timeout(hello_timeout) {}

  const std::shared_ptr<ClientBudget>& budget() const { return m_budget; }
  Milliseconds hello_timeout() const { return m_hello_timeout; }

  // Takes in a connection without Hello. Closes the oldest one in its favor
  // when there are too many.
  void AddPending(const std::shared_ptr<ClientAccount>& account,
                  CloseFunction close);
  // The connection has said Hello, or is closed.
  void RemovePending(const std::shared_ptr<ClientAccount>& account);
  size_t pending() const { return m_pending.size(); }

 private:
  struct Pending {
    std::shared_ptr<ClientAccount> m_account;
    CloseFunction m_close;
  };

  std::shared_ptr<ClientBudget> m_budget;
  Milliseconds m_hello_timeout;
  // The oldest first.
  std::deque<Pending> m_pending;
};

}  // namespace comfreyshift

#endif  // LINK_ADMISSION_H_
