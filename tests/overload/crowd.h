#ifndef TESTS_OVERLOAD_CROWD_H_
#define TESTS_OVERLOAD_CROWD_H_

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// What the clients of a crowd do.
struct CrowdPlan {
  size_t m_clients = 0;
  // What each of them sends. Afterwards it keeps its connection open. It never
  // reads.
  std::string m_text;
  // The most that is sent in one piece, and the time between two pieces.
  size_t m_piece_bytes = size_t{64} << 10;
  Milliseconds m_pause{0};
  // Number of loopback addresses from which the clients connect. None is that
  // of the ordinary clients of a test.
  size_t m_sources = 1;
};

// Many misbehaving clients of one address, in a thread of their own.
class Crowd {
 public:
  Crowd(const Address& target, CrowdPlan plan);
  // Breaks the connections.
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Whether the server's machine has acknowledged all that every client has to
  // send, or refused or closed the client, or taken nothing from it for some
  // seconds because the server has stopped reading.
  bool HasSettled() const { return m_has_settled; }
  // Number of clients that a server has taken, for however short a time.
  size_t connected() const { return m_connected; }

 private:
  struct Client {
    // -1 once the connection has ended.
    int m_fd = -1;
    bool m_is_connected = false;
    size_t m_sent = 0;
    // Bytes that were sent but not acknowledged.
    int m_unacknowledged = 0;
    MonoTime m_progress_at;
    MonoTime m_send_at;
  };

  void Run();
  void Connect(size_t index);
  void Serve(Client& client, uint32_t events);
  void SendPiece(Client& client);
  void SendDuePieces();
  void Watch(const Client& client, int operation) const;
  void Close(Client& client);
  void UpdateProgress(Client& client, MonoTime now) const;
  bool IsSettled(const Client& client, MonoTime now) const;
  void CheckProgress(MonoTime now);

  const Address m_target;
  const CrowdPlan m_plan;
  int m_epoll = -1;
  std::vector<Client> m_clients;
  MonoTime m_check_at;
  std::atomic<size_t> m_connected = 0;
  std::atomic<bool> m_has_settled = false;
  std::atomic<bool> m_is_stopping = false;
  std::thread m_thread;
};

}  // namespace comfreyshift

#endif  // TESTS_OVERLOAD_CROWD_H_
