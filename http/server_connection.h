#ifndef HTTP_SERVER_CONNECTION_H_
#define HTTP_SERVER_CONNECTION_H_

#include <gio/gio.h>

#include <functional>
#include <memory>

#include "core/core.h"
#include "http/request.h"
#include "net/net.h"

namespace comfreyshift {

// One accepted connection of a server. It waits for requests on the socket
// poller, and libsoup serves it only while a request is in progress: libsoup
// would add sources to the main loop for each connection that it waits on.
class ServerConnection {
 public:
  using Function = std::function<void(ServerConnection&)>;

  // What a connection is doing.
  enum class Phase : uint8_t { kIdle, kHead, kBody, kHandler, kAnswer };

  // `stream` carries the requests: `socket` itself, or TLS above it.
  // `on_request` is called when the first bytes of a request arrive,
  // `on_gone` once when the client has closed its side or the connection broke.
  // The connection is charged to `budget`; see is_admitted.
  ServerConnection(GSocketConnection* connection,
                   GIOStream* stream,
                   const std::shared_ptr<ClientBudget>& budget,
                   bool is_reserved,
                   Function on_request,
                   Function on_gone);
  // Closes the connection.
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  GSocket* socket() const { return m_socket; }
  GIOStream* stream() const { return m_stream; }
  bool is_gone() const { return m_is_gone; }
  bool is_serving() const { return m_server != nullptr; }
  // The request in progress, or null. A copy, since handling its end clears it.
  std::shared_ptr<HttpRequest> request() const { return m_request; }
  MonoTime idle_since() const { return m_idle_since; }
  // Whether the budget has room for it. Otherwise it is to be destroyed.
  bool is_admitted() const { return m_account->is_admitted(); }
  const std::shared_ptr<ClientAccount>& account() const { return m_account; }
  Phase phase() const;
  // Requests that have begun on it.
  uint64_t requests() const { return m_requests; }
  // When its socket was handed to libsoup last.
  MonoTime begun_at() const { return m_begun_at; }

  // Until when the present phase must end or progress, as the sweep stores it.
  struct Deadline {
    Phase m_phase = Phase::kIdle;
    MonoTime m_at = MonoTime::max();
    // Requests that had begun, and bytes of the body that had arrived.
    uint64_t m_requests = 0;
    size_t m_received_bytes = 0;
  };
  Deadline& deadline() { return m_deadline; }

  // libsoup's server object serves it from now on; it is kept alive meanwhile.
  void Begin(std::shared_ptr<void> server);
  GSocketAddress* local() const { return m_local; }
  GSocketAddress* remote() const { return m_remote; }
  // The head of a request has been read.
  void SetRequest(std::shared_ptr<HttpRequest> request);
  // Whether its next answer must end it: libsoup leaves a few bytes on a
  // connection with each request, and a layer of the stream with each one that
  // was sent ahead.
  bool is_used_up() const;
  // The request in progress has ended, answered or not.
  void EndRequest();
  // After EndRequest: libsoup has let go of the connection. `stream`
  // replaces the present one if libsoup has read ahead on it, else null.
  // Returns libsoup's server object, which must outlive the calls on the stack.
  std::shared_ptr<void> Rest(GIOStream* stream);
  // Nothing more is to be done with it.
  void MarkGone();
  // Ends the connection because of a limit. Frees the body of a request that is
  // being received; the rest follows when libsoup has found it broken.
  void Abort(ClientLimit limit);
  bool is_aborted() const { return m_is_aborted; }

 private:
  void OnReady(SocketEvents events);
  void StopWatching();

  GSocketConnection* m_connection;
  GSocket* m_socket;
  GIOStream* m_stream;
  GSocketAddress* m_local;
  GSocketAddress* m_remote;
  Function m_on_request;
  Function m_on_gone;
  SocketPoller::WatchId m_watch;
  // The request in progress, or null.
  std::shared_ptr<HttpRequest> m_request;
  // When it was accepted, or its last answer was written.
  MonoTime m_idle_since = BootClock::now();
  uint64_t m_requests = 0;
  size_t m_stream_layers = 0;
  // Set while libsoup serves it.
  std::shared_ptr<void> m_server;
  bool m_is_gone = false;
  bool m_is_aborted = false;
  MonoTime m_begun_at;
  Deadline m_deadline;
  std::shared_ptr<ClientAccount> m_account;
};

}  // namespace comfreyshift

#endif  // HTTP_SERVER_CONNECTION_H_
