#ifndef LINK_SESSION_H_
#define LINK_SESSION_H_

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "link/messages.h"
#include "net/net.h"

namespace comfreyshift {

// One TCP connection between an entry and an agent. It keeps itself alive while
// it is open. Messages sent within one turn of the main loop share a frame.
class LinkSession : public std::enable_shared_from_this<LinkSession> {
 public:
  using MessageFunction =
      std::function<void(const std::shared_ptr<LinkSession>&, LinkMessage)>;
  using CloseFunction =
      std::function<void(const std::shared_ptr<LinkSession>&)>;

  // Starts to connect to `address`, an IP number. Messages may be sent at once.
  static std::shared_ptr<LinkSession> Connect(const Address& address,
                                              MessageFunction on_message,
                                              CloseFunction on_close);
  // Takes over an accepted connection.
  static std::shared_ptr<LinkSession> Accept(GSocketConnection* connection,
                                             MessageFunction on_message,
                                             CloseFunction on_close);

  ~LinkSession();
  LinkSession(const LinkSession&) = delete;
  LinkSession& operator=(const LinkSession&) = delete;

  // Queues a message; it is written after this turn's input, or by FlushAll.
  void Send(LinkMessage message);
  // Writes what has been queued on all connections, without waiting for the
  // next turn of the main loop.
  static void FlushAll() { SocketPoller::Default().RunDeferred(); }
  // Closes the connection without calling back.
  void Close();
  bool is_open() const { return m_socket != nullptr; }
  // When bytes last arrived; the time of opening before that.
  MonoTime last_received() const { return m_last_received; }

 private:
  LinkSession(MessageFunction on_message, CloseFunction on_close);

  void Open(GSocket* socket, bool is_connecting);
  SocketInterest Interest() const {
    return m_is_waiting_to_write ? SocketInterest::kInputAndOutput
                                 : SocketInterest::kInput;
  }
  void SetWaitingToWrite(bool is_waiting);
  void Flush();
  bool ReadAll();
  bool WriteAll();
  void Fail();
  void OnReady();

  MessageFunction m_on_message;
  CloseFunction m_on_close;
  std::shared_ptr<LinkSession> m_self;
  // Holds an accepted socket open; null for a connection made here.
  GSocketConnection* m_connection = nullptr;
  GSocket* m_socket = nullptr;
  SocketPoller::WatchId m_watch = 0;
  bool m_is_flush_due = false;
  bool m_is_connecting = false;
  bool m_is_waiting_to_write = false;
  std::vector<LinkMessage> m_unsent;
  std::string m_input;
  std::string m_output;
  size_t m_written = 0;
  MonoTime m_last_received;
};

// Listens for link connections.
class LinkListener {
 public:
  using AcceptFunction = std::function<void(GSocketConnection*)>;

  // Returns nothing and logs when the address cannot be listened on.
  static std::unique_ptr<LinkListener> Listen(const Address& address,
                                              AcceptFunction on_accept);
  ~LinkListener();
  LinkListener(const LinkListener&) = delete;
  LinkListener& operator=(const LinkListener&) = delete;

 private:
  explicit LinkListener(AcceptFunction on_accept);
  static gboolean OnIncoming(GSocketService*,
                             GSocketConnection* connection,
                             GObject*,
                             LinkListener* self);

  GSocketService* m_service;
  AcceptFunction m_on_accept;
};

}  // namespace comfreyshift

#endif  // LINK_SESSION_H_
