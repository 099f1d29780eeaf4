#ifndef STORE_HTTP_POST_H_
#define STORE_HTTP_POST_H_

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>

#include "core/core.h"
#include "store/error.h"
#include "store/gobject.h"
#include "store/timer.h"

namespace comfreyshift {

// One POST with a deadline. It keeps itself alive until its callback has run.
class HttpPost : public std::enable_shared_from_this<HttpPost> {
 public:
  // Receives the body of an answer with a status below 400.
  using Callback = std::function<void(Result<std::string, StoreError>)>;

  // `writes` says whether the call can change the store, which decides what a
  // lost answer means.
  HttpPost(SoupSession* session, bool writes, Callback callback);

  void Send(const std::string& url, const std::string& body, MonoTime deadline);

 private:
  static void OnStarting(SoupMessage* message, gpointer data);
  static void OnDone(GObject* source, GAsyncResult* result, gpointer data);

  void OnDeadline();
  void Finish(GBytesPtr bytes, GErrorPtr error);
  StoreError FailureError(const GError& error) const;
  StoreError StatusError(int status, const std::string& body) const;

  GObjectPtr<SoupSession> m_session;
  GObjectPtr<SoupMessage> m_message;
  GObjectPtr<GCancellable> m_cancellable;
  Timer m_timer;
  bool m_writes = false;
  // True once bytes of the request may have left.
  bool m_started = false;
  bool m_timed_out = false;
  Callback m_callback;
};

}  // namespace comfreyshift

#endif  // STORE_HTTP_POST_H_
