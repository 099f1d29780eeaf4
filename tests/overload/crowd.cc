#include "tests/overload/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <utility>

namespace comfreyshift {

namespace {

// A client that made no progress for this time waits for a server that does not
// read on. TCP repeats what a full listen queue has dropped after 1, 2 and 4 s.
constexpr Milliseconds kStallTime{5000};
constexpr Milliseconds kCheckInterval{100};
constexpr int kPollMs = 10;
// 127.0.2.1; ordinary clients connect from 127.0.0.1.
constexpr uint32_t kFirstSource = 0x7F000201;

sockaddr_in LoopbackAddress(uint32_t ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(ip);
  address.sin_port = htons(port);
  return address;
}

}  // namespace

Crowd::Crowd(const Address& target, CrowdPlan plan)
    : m_target(target),
      m_plan(std::move(plan)),
      m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_clients(m_plan.m_clients),
      m_thread([this]() { Run(); }) {}

Crowd::~Crowd() {
  m_is_stopping = true;
  m_thread.join();
  for (Client& client : m_clients) {
    Close(client);
  }
  close(m_epoll);
}

void Crowd::Run() {
  for (size_t i = 0; i < m_clients.size(); ++i) {
    Connect(i);
  }
  std::array<epoll_event, 64> events;
  while (!m_is_stopping) {
    const int count =
        epoll_wait(m_epoll, events.data(), events.size(), kPollMs);
    for (int i = 0; i < count; ++i) {
      Serve(m_clients[events[i].data.u64], events[i].events);
    }
    SendDuePieces();
    CheckProgress(BootClock::now());
  }
}

void Crowd::Connect(size_t index) {
  Client& client = m_clients[index];
  client.m_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  client.m_progress_at = BootClock::now();
  const int is_set = 1;
  setsockopt(client.m_fd, IPPROTO_TCP, TCP_NODELAY, &is_set, sizeof(is_set));
  const sockaddr_in source = LoopbackAddress(
      kFirstSource + static_cast<uint32_t>(index % m_plan.m_sources), 0);
  const sockaddr_in target = LoopbackAddress(INADDR_LOOPBACK, m_target.m_port);
  if (bind(client.m_fd, reinterpret_cast<const sockaddr*>(&source),
           sizeof(source)) != 0 ||
      (connect(client.m_fd, reinterpret_cast<const sockaddr*>(&target),
               sizeof(target)) != 0 &&
       errno != EINPROGRESS)) {
    Close(client);
    return;
  }
  Watch(client, EPOLL_CTL_ADD);
}

// Between two pieces, and after the last, only the end of the connection is of
// interest.
void Crowd::Watch(const Client& client, int operation) const {
  const bool can_send =
      !client.m_is_connected || (client.m_sent < m_plan.m_text.size() &&
                                 client.m_send_at <= BootClock::now());
  epoll_event event{};
  event.events = EPOLLRDHUP | (can_send ? uint32_t{EPOLLOUT} : 0U);
  event.data.u64 = static_cast<uint64_t>(&client - m_clients.data());
  epoll_ctl(m_epoll, operation, client.m_fd, &event);
}

void Crowd::Serve(Client& client, uint32_t events) {
  if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0) {
    Close(client);
    return;
  }
  if ((events & EPOLLOUT) == 0) {
    return;
  }
  if (!std::exchange(client.m_is_connected, true)) {
    ++m_connected;
    Watch(client, EPOLL_CTL_MOD);
  }
  if (client.m_sent < m_plan.m_text.size()) {
    SendPiece(client);
  }
}

void Crowd::SendPiece(Client& client) {
  const size_t bytes =
      std::min(m_plan.m_piece_bytes, m_plan.m_text.size() - client.m_sent);
  const ssize_t sent = send(client.m_fd, m_plan.m_text.data() + client.m_sent,
                            bytes, MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno != EAGAIN) {
      Close(client);
    }
    return;
  }
  client.m_sent += static_cast<size_t>(sent);
  client.m_progress_at = BootClock::now();
  client.m_send_at = client.m_progress_at + m_plan.m_pause;
  if (client.m_sent == m_plan.m_text.size() ||
      m_plan.m_pause > Milliseconds(0)) {
    Watch(client, EPOLL_CTL_MOD);
  }
}

void Crowd::SendDuePieces() {
  if (m_plan.m_pause == Milliseconds(0)) {
    return;
  }
  const MonoTime now = BootClock::now();
  for (const Client& client : m_clients) {
    if (client.m_fd >= 0 && client.m_sent > 0 &&
        client.m_sent < m_plan.m_text.size() && client.m_send_at <= now) {
      Watch(client, EPOLL_CTL_MOD);
    }
  }
}

void Crowd::Close(Client& client) {
  if (client.m_fd >= 0) {
    close(std::exchange(client.m_fd, -1));
  }
}

void Crowd::UpdateProgress(Client& client, MonoTime now) const {
  int unacknowledged = 0;
  if (client.m_fd >= 0 && ioctl(client.m_fd, TIOCOUTQ, &unacknowledged) == 0 &&
      unacknowledged != client.m_unacknowledged) {
    client.m_unacknowledged = unacknowledged;
    client.m_progress_at = now;
  }
}

bool Crowd::IsSettled(const Client& client, MonoTime now) const {
  const bool is_done =
      client.m_sent == m_plan.m_text.size() && client.m_unacknowledged == 0;
  return client.m_fd < 0 || is_done || now >= client.m_progress_at + kStallTime;
}

void Crowd::CheckProgress(MonoTime now) {
  if (now < m_check_at) {
    return;
  }
  m_check_at = now + kCheckInterval;
  for (Client& client : m_clients) {
    UpdateProgress(client, now);
  }
  m_has_settled = std::ranges::all_of(
      m_clients, [&](const auto& c) { return IsSettled(c, now); });
}

}  // namespace comfreyshift
