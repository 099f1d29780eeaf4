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

  explicit ServerListener(AcceptFunction accept);
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
  static gboolean OnIncoming(GSocketService* service,
                             GSocketConnection* connection,
                             GObject* source,
                             ServerListener* self);
  // Returns the stream to serve on a connection, which the caller unrefs.
  GIOStream* Wrap(GSocketConnection* connection) const;

  AcceptFunction m_accept;
  GSocketService* m_service;
  GTlsCertificate* m_certificate = nullptr;
};

}  // namespace comfreyshift

#endif  // HTTP_SERVER_LISTENER_H_
