#ifndef TESTS_STORE_WAIT_H_
#define TESTS_STORE_WAIT_H_

#include <glib.h>

#include <optional>
#include <utility>

#include "store/store.h"

namespace comfreyshift {

inline CallOptions Within(Milliseconds time) {
  return {.m_deadline = BootClock::now() + time};
}

// Starts a call by `start`, which gets the callback, and runs the main loop
// until it is done.
template <class T, class Start>
Result<T, StoreError> Await(Start start) {
  std::optional<Result<T, StoreError>> done;
  start([&done](Result<T, StoreError> result) { done = std::move(result); });
  while (!done) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return *std::move(done);
}

inline Result<PutReply, StoreError> AwaitPut(StoreClient& client,
                                             const PutRequest& request,
                                             const CallOptions& options) {
  return Await<PutReply>([&](StoreClient::Callback<PutReply> callback) {
    client.Put(request, options, std::move(callback));
  });
}

inline Result<RangeReply, StoreError> AwaitRange(StoreClient& client,
                                                 const RangeRequest& request,
                                                 const CallOptions& options) {
  return Await<RangeReply>([&](StoreClient::Callback<RangeReply> callback) {
    client.Range(request, options, std::move(callback));
  });
}

inline Result<TxnReply, StoreError> AwaitTxn(StoreClient& client,
                                             const TxnRequest& request,
                                             const CallOptions& options) {
  return Await<TxnReply>([&](StoreClient::Callback<TxnReply> callback) {
    client.Txn(request, options, std::move(callback));
  });
}

}  // namespace comfreyshift

#endif  // TESTS_STORE_WAIT_H_
