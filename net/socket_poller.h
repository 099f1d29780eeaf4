#ifndef NET_SOCKET_POLLER_H_
#define NET_SOCKET_POLLER_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace comfreyshift {

// The events of a socket that a watch reports.
enum class SocketInterest : uint8_t {
  // Level-triggered: the socket is readable.
  kInput,
  // Level-triggered: the socket is readable or writable.
  kInputAndOutput,
  // Edge-triggered: more input has arrived, or the peer has closed its side.
  kArrivals,
};

// An event on a watched socket.
struct SocketEvents {
  // The peer has closed its side, or the connection is broken. Bytes that
  // arrived before may still be read.
  bool m_is_hung_up = false;
};

// Watches many sockets through one epoll source of the main loop. An iteration
// of GLib's loop visits every source, so with one source per connection its
// cost would grow with the number of connections. Use from one thread only.
class SocketPoller {
 public:
  using ReadyFunction = std::function<void(SocketEvents)>;
  using WatchId = uint64_t;

  // The poller of the default main loop; it lives as long as the process.
  static SocketPoller& Default();

  SocketPoller(const SocketPoller&) = delete;
  SocketPoller& operator=(const SocketPoller&) = delete;

  // Calls `on_ready` for the events of `interest`, and when the connection is
  // broken. Returns 0 and logs when the socket cannot be watched.
  WatchId Add(int socket, SocketInterest interest, ReadyFunction on_ready);
  void SetInterest(WatchId watch, SocketInterest interest);
  // Call before the socket is closed.
  void Remove(WatchId watch);
  // The socket has been closed already; its number may be in use again.
  void Forget(WatchId watch) { m_watches.erase(watch); }

  // Calls `function` once, after the input of this iteration of the loop.
  // Functions added by such a function are called in the next iteration.
  void CallAfterInput(std::function<void()> function);
  // Calls the functions added by CallAfterInput now.
  void RunDeferred();

 private:
  struct Watch {
    int m_socket = -1;
    ReadyFunction m_on_ready;
  };

  SocketPoller();
  static gboolean OnReady(gint descriptor, GIOCondition, gpointer self);
  static gboolean OnAfterInput(gpointer self);

  int m_epoll;
  WatchId m_next_watch = 1;
  std::map<WatchId, Watch> m_watches;
  std::vector<std::function<void()>> m_after_input;
  // Makes the calls after input that other sources of the loop have taken in;
  // 0 if none wait. Calls after the poller's own input need no other turn.
  guint m_after_input_source = 0;
  bool m_is_taking_input = false;
};

}  // namespace comfreyshift

#endif  // NET_SOCKET_POLLER_H_
