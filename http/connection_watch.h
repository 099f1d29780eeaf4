#ifndef HTTP_CONNECTION_WATCH_H_
#define HTTP_CONNECTION_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace comfreyshift {

// Watches the connections of one or more clients to one server, and tells when
// the server may have been restarted: it has closed a connection or refused
// one, or none is left. As long as a connection stays open, the process at its
// other end lives.
class ConnectionWatch {
 public:
  // `on_loss` is called for each loss, also from within functions of a client.
  // It must not call the clients.
  void SetOnLoss(std::function<void()> on_loss) {
    m_on_loss = std::move(on_loss);
  }
  // Number of losses so far.
  uint64_t losses() const { return m_losses; }

  // A connection is established. Ends of other connections that have arrived
  // and have not been read are counted first: the server that accepted this one
  // may be another process.
  void OnOpened(int socket);
  // The client closes a socket, whether or not its connection was established.
  // `by_server` says that the server has closed or refused the connection.
  void OnClosed(int socket, bool by_server);
  // The server has refused a connection.
  void OnRefused() { Lose(); }

 private:
  // Marks the sockets whose connections have ended. Returns whether there was
  // any that was not marked before.
  bool MarkEnded();
  void Lose();

  // Sockets of open connections; the value says whether the end of the
  // connection is known and counted.
  std::map<int, bool> m_sockets;
  std::function<void()> m_on_loss;
  uint64_t m_losses = 0;
};

}  // namespace comfreyshift

#endif  // HTTP_CONNECTION_WATCH_H_
