#ifndef STORE_STORE_CALL_H_
#define STORE_STORE_CALL_H_

#include <memory>
#include <string>

#include "store/backoff.h"
#include "store/channel.h"
#include "store/http_post.h"
#include "store/timer.h"

namespace comfreyshift {

// One call of the client: an attempt, and further ones while the options ask
// for them and nothing can have been written. The pending attempt or timer
// keeps it alive.
class StoreCall : public std::enable_shared_from_this<StoreCall> {
 public:
  // A call that `writes` is not repeated once it may have taken effect.
  StoreCall(std::shared_ptr<Channel> channel,
            const std::string& path,
            bool writes,
            const CallOptions& options,
            HttpPost::Callback callback);

  void Start(std::string body);

 private:
  void Attempt();
  void OnAnswer(Result<std::string, StoreError> answer);
  bool Repeat(const StoreError& error);
  void FinishSoon(StoreError error);
  void Finish(Result<std::string, StoreError> answer);

  std::shared_ptr<Channel> m_channel;
  std::string m_url;
  bool m_writes = false;
  CallOptions m_options;
  HttpPost::Callback m_callback;
  std::string m_body;
  Backoff m_backoff;
  Timer m_timer;
};

}  // namespace comfreyshift

#endif  // STORE_STORE_CALL_H_
