#include "store/client.h"

#include <algorithm>
#include <utility>

#include "store/codec.h"
#include "store/store_call.h"
#include "store/watch.h"

namespace comfreyshift {

namespace {

bool Writes(const std::vector<TxnOperation>& operations) {
  return std::any_of(operations.begin(), operations.end(),
                     [](const TxnOperation& operation) {
                       return !std::holds_alternative<RangeRequest>(operation);
                     });
}

bool Writes(const TxnRequest& request) {
  return Writes(request.m_success) || Writes(request.m_failure);
}

class SoupStoreClient : public StoreClient {
 public:
  explicit SoupStoreClient(const StoreSettings& settings)
      : m_channel(std::make_shared<Channel>(settings)) {}

  void Range(const RangeRequest& request,
             const CallOptions& options,
             Callback<RangeReply> callback) override {
    Post("/v3/kv/range", EncodeRange(request), false, options, &DecodeRange,
         std::move(callback));
  }

  void Put(const PutRequest& request,
           const CallOptions& options,
           Callback<PutReply> callback) override {
    Post("/v3/kv/put", EncodePut(request), true, options, &DecodePut,
         std::move(callback));
  }

  void Txn(const TxnRequest& request,
           const CallOptions& options,
           Callback<TxnReply> callback) override {
    Post("/v3/kv/txn", EncodeTxn(request), Writes(request), options, &DecodeTxn,
         std::move(callback));
  }

  void LeaseGrant(std::chrono::seconds ttl,
                  const CallOptions& options,
                  Callback<LeaseReply> callback) override {
    Post("/v3/lease/grant", EncodeLeaseGrant(ttl), true, options,
         &DecodeLeaseGrant, std::move(callback));
  }

  void LeaseKeepAlive(LeaseId lease,
                      const CallOptions& options,
                      Callback<LeaseReply> callback) override {
    Post("/v3/lease/keepalive", EncodeLeaseId(lease), true, options,
         &DecodeLeaseKeepAlive, std::move(callback));
  }

  void LeaseRevoke(LeaseId lease,
                   const CallOptions& options,
                   Callback<std::monostate> callback) override {
    Post("/v3/lease/revoke", EncodeLeaseId(lease), true, options,
         &DecodeLeaseRevoke, std::move(callback));
  }

  std::shared_ptr<StoreWatch> Watch(const WatchRequest& request,
                                    Callback<WatchReply> callback) override {
    auto stream = std::make_shared<WatchStream>(m_channel, std::move(callback));
    stream->Start(EncodeWatch(request));
    return std::make_shared<WatchHandle>(stream);
  }

  Backoff NewBackoff() override {
    return Backoff(m_channel->m_settings.m_backoff, m_channel->m_random());
  }

  const StoreCounts& counts() const override { return m_channel->m_counts; }

 private:
  template <class T>
  void Post(const char* path,
            std::string body,
            bool writes,
            const CallOptions& options,
            std::optional<T> (*decode)(std::string_view),
            Callback<T> callback) {
    auto done = [decode, writes, callback = std::move(callback)](
                    Result<std::string, StoreError> answer) {
      if (!answer) {
        callback(std::move(answer).assume_error());
        return;
      }
      std::optional<T> reply = decode(answer.assume_value());
      if (!reply) {
        callback(MalformedAnswer(writes));
        return;
      }
      callback(*std::move(reply));
    };
    std::make_shared<StoreCall>(m_channel, path, writes, options,
                                std::move(done))
        ->Start(std::move(body));
  }

  static StoreError MalformedAnswer(bool writes) {
    StoreError error;
    error.m_code = StoreErrorCode::kMalformedAnswer;
    error.m_effect =
        writes ? StoreEffect::kMayBeWritten : StoreEffect::kUnavailable;
    error.m_message = "the store's answer is not valid JSON of the protocol";
    return error;
  }

  std::shared_ptr<Channel> m_channel;
};

}  // namespace

std::shared_ptr<StoreClient> StoreClient::Create(
    const StoreSettings& settings) {
  return std::make_shared<SoupStoreClient>(settings);
}

}  // namespace comfreyshift
