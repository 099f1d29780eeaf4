#ifndef STORE_CLIENT_H_
#define STORE_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "store/backoff.h"
#include "store/call_budget.h"
#include "store/error.h"

namespace comfreyshift {

struct StoreSettings {
  // Base address of the etcd v3 JSON gateway, such as `http://10.0.0.1:2379`.
  std::string m_url{};
  // How long one attempt of a call may take.
  Milliseconds m_attempt_timeout{1000};
  BackoffSettings m_backoff{};
  CallBudgetSettings m_budget{};
  // Seed of the jitter. Processes need different ones.
  uint64_t m_seed = 0;
};

struct CallOptions {
  // The call ends by this time: with kTimeout, or with the error of the last
  // attempt.
  MonoTime m_deadline;
  // Tries again after a failure that leaves nothing written (kUnavailable),
  // with backoff, until the deadline. Each attempt takes from the call budget,
  // and a spent budget ends the call.
  bool m_repeat = false;
};

// Totals since the client was created.
struct StoreCounts {
  // Attempts sent, and watches started.
  uint64_t m_sent = 0;
  // Attempts that follow a failed one of the same call.
  uint64_t m_repeated = 0;
  // Attempts and watches that the call budget stopped.
  uint64_t m_over_budget = 0;
  // Calls that ended with an error.
  uint64_t m_failed = 0;
};

using LeaseId = int64_t;

struct LeaseReply {
  LeaseId m_lease = 0;
  // Time to live that the store granted. 0 means that the lease has expired.
  std::chrono::seconds m_ttl{0};
};

struct WatchRequest {
  std::string m_key{};
  std::string m_range_end{};
  // Events from this revision on; 0 means from now.
  Revision m_start_revision = 0;
};

struct WatchEvent {
  bool m_deleted = false;
  KeyValue m_key_value;
};

struct WatchReply {
  Revision m_revision = 0;
  // True in the first reply, which confirms that the watch is set up.
  bool m_created = false;
  std::vector<WatchEvent> m_events{};
};

// A running watch. Destroying it or calling Stop ends it without a further
// callback.
class StoreWatch {
 public:
  virtual ~StoreWatch() = default;
  virtual void Stop() = 0;
};

// Asynchronous client of the etcd v3 JSON gateway protocol
// (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/) on libsoup and the
// GLib main context that is the thread's default when it is created.
//
// Each callback runs exactly once, from the main loop and never inside the
// call itself. Calls in progress go on after the client is destroyed. A call
// that the budget does not allow fails with kBudgetSpent in the next turn of
// the loop.
class StoreClient {
 public:
  template <class T>
  using Callback = std::function<void(Result<T, StoreError>)>;

  static std::shared_ptr<StoreClient> Create(const StoreSettings& settings);

  virtual ~StoreClient() = default;

  virtual void Range(const RangeRequest& request,
                     const CallOptions& options,
                     Callback<RangeReply> callback) = 0;
  virtual void Put(const PutRequest& request,
                   const CallOptions& options,
                   Callback<PutReply> callback) = 0;
  // A transaction of reads alone counts as a read: it never fails with
  // kMayBeWritten.
  virtual void Txn(const TxnRequest& request,
                   const CallOptions& options,
                   Callback<TxnReply> callback) = 0;

  // `ttl` must be at least 1 s; the store may grant a longer one.
  virtual void LeaseGrant(std::chrono::seconds ttl,
                          const CallOptions& options,
                          Callback<LeaseReply> callback) = 0;
  virtual void LeaseKeepAlive(LeaseId lease,
                              const CallOptions& options,
                              Callback<LeaseReply> callback) = 0;
  virtual void LeaseRevoke(LeaseId lease,
                           const CallOptions& options,
                           Callback<std::monostate> callback) = 0;

  // Calls `callback` with each reply of the watch. An error ends the watch and
  // is the last call; the caller may then watch again from the last revision
  // it has seen. A watch takes one call from the budget.
  virtual std::shared_ptr<StoreWatch> Watch(const WatchRequest& request,
                                            Callback<WatchReply> callback) = 0;

  // Returns a backoff by the client's settings, with its own jitter.
  virtual Backoff NewBackoff() = 0;

  virtual const StoreCounts& counts() const = 0;
};

}  // namespace comfreyshift

#endif  // STORE_CLIENT_H_
