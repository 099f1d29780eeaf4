#include "store/client.h"

#include <libsoup/soup.h>

#include <utility>

#include "store/codec.h"
#include "store/gobject.h"
#include "store/http_post.h"
#include "store/watch.h"

namespace comfreyshift {

namespace {

// libsoup's default of 2 connections to a host would queue calls behind each
// other.
constexpr int kMaxConnections = 16;

SoupSession* NewSession() {
  return soup_session_new_with_options("max-conns", kMaxConnections,
                                       "max-conns-per-host", kMaxConnections,
                                       "proxy-resolver", nullptr, nullptr);
}

class SoupStoreClient : public StoreClient {
 public:
  explicit SoupStoreClient(StoreSettings settings)
      : m_settings(std::move(settings)),
        m_session(NewSession()),
        m_watch_session(NewSession()) {}

  ~SoupStoreClient() override {
    soup_session_abort(m_session.get());
    soup_session_abort(m_watch_session.get());
  }

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
    Post("/v3/kv/txn", EncodeTxn(request), true, options, &DecodeTxn,
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
    auto stream = std::make_shared<WatchStream>(m_watch_session.get(),
                                                std::move(callback));
    stream->Start(m_settings.m_url + "/v3/watch", EncodeWatch(request));
    return std::make_shared<WatchHandle>(stream);
  }

 private:
  template <class T>
  void Post(const char* path,
            const std::string& body,
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
    std::make_shared<HttpPost>(m_session.get(), writes, std::move(done))
        ->Send(m_settings.m_url + path, body, options.m_deadline);
  }

  static StoreError MalformedAnswer(bool writes) {
    StoreError error;
    error.m_code = StoreErrorCode::kMalformedAnswer;
    error.m_effect =
        writes ? StoreEffect::kMayBeWritten : StoreEffect::kUnavailable;
    error.m_message = "the store's answer is not valid JSON of the protocol";
    return error;
  }

  StoreSettings m_settings;
  GObjectPtr<SoupSession> m_session;
  GObjectPtr<SoupSession> m_watch_session;
};

}  // namespace

std::shared_ptr<StoreClient> StoreClient::Create(StoreSettings settings) {
  return std::make_shared<SoupStoreClient>(std::move(settings));
}

}  // namespace comfreyshift
