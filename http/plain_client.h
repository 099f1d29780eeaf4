#ifndef HTTP_PLAIN_CLIENT_H_
#define HTTP_PLAIN_CLIENT_H_

#include <gio/gio.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "http/call.h"
#include "http/connection_watch.h"
#include "http/response_parser.h"
#include "net/net.h"

namespace comfreyshift {

// Calls to one HTTP server at an IPv4 address, without TLS. Half of an agent's
// processor time went to libsoup's and GLib's objects for each call, so calls
// without TLS use plain sockets behind the poller. See HttpClient.
class PlainClient : public std::enable_shared_from_this<PlainClient> {
 public:
  // `watch` may be null.
  PlainClient(const Address& server,
              uint32_t connections,
              uint64_t max_answer_bytes,
              std::shared_ptr<ConnectionWatch> watch);
  ~PlainClient();
  PlainClient(const PlainClient&) = delete;
  PlainClient& operator=(const PlainClient&) = delete;

  uint64_t Send(HttpCall call, HttpCallback callback);
  void Cancel(uint64_t id);
  // Ends the calls in progress without calling back.
  void Abandon();

 private:
  using ConnectionId = uint64_t;

  struct Call {
    HttpCall m_call;
    HttpCallback m_callback;
    // The connection that carries it; 0 while it waits for one.
    ConnectionId m_connection = 0;
  };

  struct Connection {
    GSocket* m_socket = nullptr;
    SocketPoller::WatchId m_watch = 0;
    bool m_is_connecting = true;
    bool m_waits_to_write = true;
    // Whether the server has closed or refused it.
    bool m_has_ended = false;
    // The call that it carries; 0 while it is idle.
    uint64_t m_call = 0;
    std::string m_output;
    size_t m_written = 0;
    std::unique_ptr<ResponseParser> m_parser;
    MonoTime m_idle_since;
  };

  // Gives waiting calls to connections, at the end of this turn of the loop.
  void PumpLater();
  void Pump();
  // Returns an idle connection or a new one; 0 if there may be no more, or
  // none can be made, which ends the call.
  ConnectionId TakeConnection(uint64_t call);
  ConnectionId Connect(uint64_t call);
  void StartCall(uint64_t call, ConnectionId connection);
  void OnReady(ConnectionId id, SocketEvents events);
  // Return false if the connection is broken.
  bool FinishConnecting(ConnectionId id);
  bool WriteAll(Connection& connection);
  bool BeginWriting(ConnectionId id);
  void Read(ConnectionId id);
  void OnResponse(ConnectionId id);
  void OnBroken(ConnectionId id, const std::string& reason);
  void Close(ConnectionId id);
  void SetWaitsToWrite(Connection& connection, bool waits);
  // Ends a call; closes the connection that carries it.
  void Fail(uint64_t call, HttpCallFailure failure, const std::string& detail);
  void End(uint64_t call, HttpCallResult result);
  HttpCallState StateOf(const Call& call) const;
  void CloseIdle(MonoTime now);
  void ExpireCalls();
  void SetTimer();

  std::string m_host;
  GSocketAddress* m_address;
  uint32_t m_max_connections;
  uint64_t m_max_answer_bytes;
  std::shared_ptr<ConnectionWatch> m_watch;
  std::map<uint64_t, Call> m_calls;
  std::deque<uint64_t> m_waiting;
  std::set<std::pair<MonoTime, uint64_t>> m_deadlines;
  std::map<ConnectionId, Connection> m_connections;
  // The one used last is taken first.
  std::vector<ConnectionId> m_idle;
  LoopTimer m_timer;
  MonoTime m_timer_at = MonoTime::max();
  uint64_t m_next_id = 1;
  bool m_is_pump_due = false;
};

}  // namespace comfreyshift

#endif  // HTTP_PLAIN_CLIENT_H_
