#include "http/connection_watch.h"

#include <poll.h>

#include <vector>

namespace comfreyshift {

void ConnectionWatch::OnOpened(int socket) {
  if (MarkEnded()) {
    Lose();
  }
  m_sockets[socket] = false;
}

void ConnectionWatch::OnClosed(int socket, bool by_server) {
  const auto found = m_sockets.find(socket);
  if (found == m_sockets.end()) {
    if (by_server) {
      Lose();
    }
    return;
  }
  // Several connections that end together count once.
  const bool was_counted = found->second;
  const bool has_ended = MarkEnded() || (by_server && !was_counted);
  m_sockets.erase(found);
  if (has_ended || (m_sockets.empty() && !was_counted)) {
    Lose();
  }
}

bool ConnectionWatch::MarkEnded() {
  std::vector<pollfd> polled;
  for (const auto& [socket, is_counted] : m_sockets) {
    if (!is_counted) {
      polled.push_back({socket, POLLRDHUP, 0});
    }
  }
  if (polled.empty() || poll(polled.data(), polled.size(), 0) <= 0) {
    return false;
  }
  bool has_ended = false;
  for (const pollfd& entry : polled) {
    if (entry.revents != 0) {
      m_sockets[entry.fd] = true;
      has_ended = true;
    }
  }
  return has_ended;
}

void ConnectionWatch::Lose() {
  ++m_losses;
  if (m_on_loss) {
    m_on_loss();
  }
}

}  // namespace comfreyshift
