#ifndef STORE_WATCH_H_
#define STORE_WATCH_H_

#include <gio/gio.h>

#include <memory>
#include <string>

#include "store/channel.h"
#include "store/client.h"
#include "store/gobject.h"
#include "store/timer.h"

namespace comfreyshift {

// One watch stream. The pending read keeps it alive; its handle cancels it.
class WatchStream : public std::enable_shared_from_this<WatchStream> {
 public:
  WatchStream(std::shared_ptr<Channel> channel,
              StoreClient::Callback<WatchReply> callback);

  void Start(const std::string& body);
  void Stop();

 private:
  static void OnSent(GObject* source, GAsyncResult* result, gpointer data);
  static void OnLine(GObject* source, GAsyncResult* result, gpointer data);

  gpointer Hold();
  void ReadLine();
  void TakeLine(std::string_view line);
  void Fail(StoreErrorCode code, std::string message);
  void End(StoreError error);

  std::shared_ptr<Channel> m_channel;
  GObjectPtr<SoupMessage> m_message;
  GObjectPtr<GCancellable> m_cancellable;
  GObjectPtr<GDataInputStream> m_lines;
  Timer m_timer;
  // Empty once the watch has ended.
  StoreClient::Callback<WatchReply> m_callback;
};

class WatchHandle : public StoreWatch {
 public:
  explicit WatchHandle(std::shared_ptr<WatchStream> stream);
  ~WatchHandle() override;
  void Stop() override;

 private:
  std::shared_ptr<WatchStream> m_stream;
};

}  // namespace comfreyshift

#endif  // STORE_WATCH_H_
