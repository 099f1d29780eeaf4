#include "net/socket_poller.h"

#include <glib-unix.h>
#include <sys/epoll.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

// Sockets handled in one turn; the others come with the next.
constexpr size_t kEventsPerTurn = 64;

uint32_t EventsOf(SocketInterest interest) {
  switch (interest) {
    case SocketInterest::kInput:
      return EPOLLIN;
    case SocketInterest::kInputAndOutput:
      return EPOLLIN | EPOLLOUT;
    case SocketInterest::kArrivals:
      return static_cast<uint32_t>(EPOLLIN) | EPOLLRDHUP | EPOLLET;
  }
  return 0;
}

epoll_event MakeEvent(uint64_t watch, SocketInterest interest) {
  epoll_event event{};
  event.events = EventsOf(interest);
  event.data.u64 = watch;
  return event;
}

void LogFailure(const char* call) {
  LogEvent(LogLevel::kError, "net", "poller_failed",
           {{"call", call}, {"reason", std::string(std::strerror(errno))}});
}

}  // namespace

SocketPoller& SocketPoller::Default() {
  // Never destroyed: sessions may close while the process ends.
  static auto* const poller = new SocketPoller();
  return *poller;
}

SocketPoller::SocketPoller() : m_epoll(epoll_create1(EPOLL_CLOEXEC)) {
  if (m_epoll < 0) {
    LogFailure("epoll_create1");
    return;
  }
  g_unix_fd_add(m_epoll, G_IO_IN, &SocketPoller::OnReady, this);
}

SocketPoller::WatchId SocketPoller::Add(int socket,
                                        SocketInterest interest,
                                        ReadyFunction on_ready) {
  const WatchId watch = m_next_watch++;
  epoll_event event = MakeEvent(watch, interest);
  if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event) != 0) {
    LogFailure("epoll_ctl");
    return 0;
  }
  m_watches[watch] = {socket, std::move(on_ready)};
  return watch;
}

void SocketPoller::SetInterest(WatchId watch, SocketInterest interest) {
  const auto found = m_watches.find(watch);
  if (found == m_watches.end()) {
    return;
  }
  epoll_event event = MakeEvent(watch, interest);
  if (epoll_ctl(m_epoll, EPOLL_CTL_MOD, found->second.m_socket, &event) != 0) {
    LogFailure("epoll_ctl");
  }
}

void SocketPoller::Remove(WatchId watch) {
  const auto found = m_watches.find(watch);
  if (found == m_watches.end()) {
    return;
  }
  if (epoll_ctl(m_epoll, EPOLL_CTL_DEL, found->second.m_socket, nullptr) != 0) {
    LogFailure("epoll_ctl");
  }
  m_watches.erase(found);
}

void SocketPoller::CallAfterInput(std::function<void()> function) {
  m_after_input.push_back(std::move(function));
  if (!m_is_taking_input && m_after_input_source == 0) {
    m_after_input_source = g_idle_add_full(
        G_PRIORITY_DEFAULT, &SocketPoller::OnAfterInput, this, nullptr);
  }
}

gboolean SocketPoller::OnAfterInput(gpointer data) {
  auto* self = static_cast<SocketPoller*>(data);
  self->m_after_input_source = 0;
  self->RunDeferred();
  return G_SOURCE_REMOVE;
}

void SocketPoller::RunDeferred() {
  if (m_after_input_source != 0) {
    g_source_remove(std::exchange(m_after_input_source, 0));
  }
  for (const auto& function : std::exchange(m_after_input, {})) {
    function();
  }
}

gboolean SocketPoller::OnReady(gint, GIOCondition, gpointer data) {
  auto* self = static_cast<SocketPoller*>(data);
  std::array<epoll_event, kEventsPerTurn> events;
  const int count =
      epoll_wait(self->m_epoll, events.data(), events.size(), /*timeout=*/0);
  self->m_is_taking_input = true;
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<size_t>(i)];
    // A function called for an earlier socket may have removed this one.
    const auto found = self->m_watches.find(event.data.u64);
    if (found != self->m_watches.end()) {
      const ReadyFunction on_ready = found->second.m_on_ready;
      on_ready({(event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0});
    }
  }
  self->m_is_taking_input = false;
  self->RunDeferred();
  return G_SOURCE_CONTINUE;
}

}  // namespace comfreyshift
