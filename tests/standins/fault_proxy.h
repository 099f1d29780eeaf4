#ifndef TESTS_STANDINS_FAULT_PROXY_H_
#define TESTS_STANDINS_FAULT_PROXY_H_

#include <gio/gio.h>

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/core.h"
#include "net/net.h"

namespace comfreyshift {

// What a proxy does to the connections through it.
enum class LinkFault : uint8_t {
  kNone,
  // Everything arrives 120 ms later.
  kDelay,
  // Open connections are reset, and new ones at once.
  kReset,
  // Nothing arrives, and nobody is told; goes on when the fault ends.
  kSilent,
  // Only what the connecting side sends is held back.
  kCutToServer,
  // Only what the listening side sends is held back.
  kCutToClient,
};

// Forwards TCP connections from a port of its own to a server on loopback, with
// faults. It runs on the main loop.
class FaultProxy {
 public:
  explicit FaultProxy(const Address& server);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const Address& address() const { return m_address; }
  void SetFault(LinkFault fault);
  // The connections that are open now carry nothing any more, for good.
  void SilenceOpenConnections();

 private:
  struct Chunk {
    MonoTime m_due;
    std::string m_bytes;
  };
  // One direction of a connection.
  struct Flow {
    GSocket* m_from = nullptr;
    GSocket* m_to = nullptr;
    std::deque<Chunk> m_chunks;
    bool m_is_ended = false;
  };
  struct Connection {
    GSocket* m_client = nullptr;
    GSocket* m_server = nullptr;
    SocketPoller::WatchId m_client_watch = 0;
    SocketPoller::WatchId m_server_watch = 0;
    Flow m_to_server;
    Flow m_to_client;
    bool m_is_silent = false;
  };

  static gboolean OnIncoming(GSocketService*,
                             GSocketConnection* connection,
                             GObject*,
                             FaultProxy* self);
  static gboolean OnTick(gpointer self);
  void Accept(GSocket* client);
  void Read(Flow& flow) const;
  // Returns false when the connection is broken.
  bool Write(Flow& flow, bool is_held) const;
  void Pump(uint64_t id);
  void Close(Connection& connection, bool is_reset);

  Address m_server;
  Address m_address;
  GSocketService* m_service;
  LinkFault m_fault = LinkFault::kNone;
  uint64_t m_next_id = 1;
  std::map<uint64_t, Connection> m_connections;
  guint m_timer = 0;
};

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_FAULT_PROXY_H_
