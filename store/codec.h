#ifndef STORE_CODEC_H_
#define STORE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "store/client.h"

namespace comfreyshift {

// JSON bodies of the etcd v3 gateway protocol: keys and values in base64,
// 64-bit integers as strings.
std::string EncodeRange(const RangeRequest& request);
std::string EncodePut(const PutRequest& request);
std::string EncodeTxn(const TxnRequest& request);
std::string EncodeLeaseGrant(std::chrono::seconds ttl);
std::string EncodeLeaseId(LeaseId lease);
std::string EncodeWatch(const WatchRequest& request);

// Each returns nothing for a body that is not an answer of its kind. Fields
// that are absent have their default value, as the protocol has it.
std::optional<RangeReply> DecodeRange(std::string_view body);
std::optional<PutReply> DecodePut(std::string_view body);
std::optional<TxnReply> DecodeTxn(std::string_view body);
std::optional<LeaseReply> DecodeLeaseGrant(std::string_view body);
std::optional<LeaseReply> DecodeLeaseKeepAlive(std::string_view body);
std::optional<std::monostate> DecodeLeaseRevoke(std::string_view body);

// A message that says that the store has ended the watch has no value and
// `canceled` set.
struct WatchMessage {
  WatchReply m_reply;
  bool m_canceled = false;
  std::string m_cancel_reason;
};
std::optional<WatchMessage> DecodeWatch(std::string_view line);

// Returns the `message` of an error answer, or an empty string.
std::string DecodeErrorMessage(std::string_view body);

}  // namespace comfreyshift

#endif  // STORE_CODEC_H_
