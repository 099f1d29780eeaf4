#ifndef STORE_ERROR_H_
#define STORE_ERROR_H_

#include <string>

namespace comfreyshift {

// What a failed call means for the store's content.
enum class StoreEffect {
  // The call was refused, by the store or by this client, and wrote nothing.
  // Sending it again unchanged meets the same refusal.
  kNotWritten,
  // The call may have taken effect. Only reading back tells.
  kMayBeWritten,
  // The store was not reached or could not serve. Nothing was written by this
  // call, and a later one may succeed.
  kUnavailable,
};

enum class StoreErrorCode {
  // The call budget is spent; the call was not sent.
  kBudgetSpent,
  // The deadline passed before the answer arrived.
  kTimeout,
  // The connection could not be made or broke before the answer.
  kConnection,
  // The store answered with an HTTP status of 400 or above.
  kRefused,
  // The answer is not valid JSON of the gateway protocol.
  kMalformedAnswer,
};

// Error type of the store library.
struct StoreError {
  StoreErrorCode m_code = StoreErrorCode::kConnection;
  StoreEffect m_effect = StoreEffect::kUnavailable;
  std::string m_message{};
  // The HTTP status, or 0 when there was no answer.
  int m_http_status = 0;
};

}  // namespace comfreyshift

#endif  // STORE_ERROR_H_
