#ifndef LINK_SESSION_H_
#define LINK_SESSION_H_

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "link/admission.h"
#include "link/messages.h"
#include "net/net.h"

namespace comfreyshift {

// A TCP connection between an entry and an agent. An open session holds a
// reference to itself. Messages sent within one iteration of the main loop are
// batched into one frame.
class LinkSession : public std::enable_shared_from_this<LinkSession> {
 public:
  using MessageFunction =
      std::function<void(const std::shared_ptr<LinkSession>&, LinkMessage)>;
  using CloseFunction =
      std::function<void(const std::shared_ptr<LinkSession>&)>;

  // Starts to connect to `address`, whose host must be a numeric IP address.
  // Messages may be sent before the connection is established.
  static std::shared_ptr<LinkSession> Connect(const Address& address,
                                              MessageFunction on_message,
                                              CloseFunction on_close);
  // Wraps an accepted connection. With an `admission` it is bounded: it must
  // say Hello in time, and what it holds is charged. Returns a closed session
  // if there is no room for it.
  static std::shared_ptr<LinkSession> Accept(
      GSocketConnection* connection,
      MessageFunction on_message,
      CloseFunction on_close,
      std::shared_ptr<LinkAdmission> admission = nullptr);

  ~LinkSession();
  LinkSession(const LinkSession&) = delete;
  LinkSession& operator=(const LinkSession&) = delete;

  // Queues a message, which is written once the input of this main loop
  // iteration has been processed, or by FlushAll.
  void Send(LinkMessage message);
  // Writes the queued messages of all connections without waiting for the next
  // iteration of the main loop.
  static void FlushAll() { SocketPoller::Default().RunDeferred(); }
  // Closes the connection without calling the CloseFunction.
  void Close();
  bool is_open() const { return m_socket != nullptr; }
  // When bytes last arrived, or when the session was opened if none have.
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
  bool ReadInput();
  void EncodeQueuedMessages();
  bool WriteOutput();
  void CloseAndNotify();
  void OnReady();
  bool Admit(std::shared_ptr<LinkAdmission> admission);
  void OnHello();
  void CloseForLimit(ClientLimit limit);
  // Charges the buffers. May close the session.
  void ChargeBuffers();

  MessageFunction m_on_message;
  CloseFunction m_on_close;
  // Keeps the session alive while it is open.
  std::shared_ptr<LinkSession> m_self_reference;
  // Keeps an accepted socket open; null for an outgoing connection.
  GSocketConnection* m_connection = nullptr;
  GSocket* m_socket = nullptr;
  SocketPoller::WatchId m_watch = 0;
  bool m_is_flush_due = false;
  bool m_is_connecting = false;
  bool m_is_waiting_to_write = false;
  std::vector<LinkMessage> m_queued_messages;
  std::string m_input;
  std::string m_output;
  size_t m_output_offset = 0;
  MonoTime m_last_received;
  // Null for connections that are not bounded.
  std::shared_ptr<LinkAdmission> m_admission;
  std::shared_ptr<ClientAccount> m_account;
  // Runs until the Hello.
  std::unique_ptr<LoopTimer> m_hello_timer;
  bool m_has_hello = false;
};

// Accepts incoming link connections.
class LinkListener {
 public:
  using AcceptFunction = std::function<void(GSocketConnection*)>;

  // Returns null and logs the reason if listening on the address fails.
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
