#ifndef HTTP_SERVER_LISTENER_H_
#define HTTP_SERVER_LISTENER_H_

#include <gio/gio.h>

#include <filesystem>
#include <functional>

#include "core/core.h"
#include "http/error.h"

namespace comfreyshift {

// Accepts the connections of an HttpServer, with TLS or without. It is not
// libsoup's own listener, because soup_server_disconnect() breaks the
// connections of requests in progress too.
class ServerListener {
 public:
  // Takes a connection and the stream to serve on it, which is the connection
  // itself or TLS above it. The callee refs what it keeps.
  using AcceptFunction =
      std::function<void(GSocketConnection* connection, GIOStream* stream)>;

  // Bounds the kernel's buffers of accepted connections to `buffer_bytes`,
  // unless it is 0.
  explicit ServerListener(AcceptFunction accept, int buffer_bytes = 0);
  ~ServerListener();
  ServerListener(const ServerListener&) = delete;
  ServerListener& operator=(const ServerListener&) = delete;

  // See HttpServer.
  Result<void, HttpError> UseTls(const std::filesystem::path& certificate,
                                 const std::filesystem::path& private_key);
  Result<Address, HttpError> Listen(const Address& address);

  // Refuses new connections from now on.
  void Close();

  bool uses_tls() const { return m_certificate != nullptr; }

 private:
  static void OnEvent(GSocketListener* listener,
                      GSocketListenerEvent event,
                      GSocket* socket,
                      ServerListener* self);
  static gboolean OnIncoming(GSocketService* service,
                             GSocketConnection* connection,
                             GObject* source,
                             ServerListener* self);
  // Returns the stream to serve on a connection, which the caller unrefs.
  GIOStream* Wrap(GSocketConnection* connection) const;

  AcceptFunction m_accept;
  int m_buffer_bytes;
  GSocketService* m_service;
  GTlsCertificate* m_certificate = nullptr;
};

}  // namespace comfreyshift

#endif  // HTTP_SERVER_LISTENER_H_
