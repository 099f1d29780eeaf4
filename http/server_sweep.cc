#include "http/server_sweep.h"

#include <algorithm>

namespace comfreyshift {

namespace {

using Phase = ServerConnection::Phase;

// libsoup bounds a head at this many bytes, and keeps it in a buffer that grows
// by doubling.
constexpr size_t kMaxSoupHeadBytes = size_t{100} * 1024;
constexpr size_t kHeadBufferFactor = 2;

MonoTime After(MonoTime time, Milliseconds timeout) {
  return timeout == Milliseconds::max() ? MonoTime::max() : time + timeout;
}

// Returns the bytes of a head that libsoup has read so far. Before the first
// request everything received belongs to it.
size_t HeadBytes(const ServerConnection& connection) {
  if (connection.requests() > 0) {
    return kMaxSoupHeadBytes;
  }
  return std::min(kMaxSoupHeadBytes,
                  ReceivedBytes(g_socket_get_fd(connection.socket())));
}

// Stores the deadline of a phase that has just begun, or has progressed.
void StoreDeadline(ServerConnection& connection,
                   const HttpServerOptions& options,
                   MonoTime now) {
  const Phase phase = connection.phase();
  auto& deadline = connection.deadline();
  const bool is_new =
      phase != deadline.m_phase || connection.requests() != deadline.m_requests;
  const size_t received =
      phase == Phase::kBody ? connection.request()->received_bytes() : 0;
  const bool has_progressed =
      phase == Phase::kBody &&
      received >= deadline.m_received_bytes + options.m_min_body_progress;
  if (!is_new && !has_progressed) {
    return;
  }
  deadline = {phase, MonoTime::max(), connection.requests(), received};
  if (phase == Phase::kHead) {
    const MonoTime begun_at =
        std::max(connection.begun_at(), connection.idle_since());
    deadline.m_at = After(begun_at, options.m_head_timeout);
  } else if (phase == Phase::kBody) {
    deadline.m_at = After(now, options.m_body_timeout);
  } else if (phase == Phase::kAnswer) {
    deadline.m_at = After(now, options.m_answer_timeout);
  }
}

ClientLimit LimitOf(Phase phase) {
  switch (phase) {
    case Phase::kHead:
      return ClientLimit::kHeadTime;
    case Phase::kBody:
      return ClientLimit::kBodyTime;
    default:
      return ClientLimit::kAnswerTime;
  }
}

// Charges what the kernel and libsoup hold for a connection.
void ChargeOutside(ServerConnection& connection) {
  const size_t outside =
      connection.phase() == Phase::kHead
          ? kHeadBufferFactor * HeadBytes(connection)
          : QueuedBytes(g_socket_get_fd(connection.socket()));
  connection.account()->HoldOutside(outside);
}

}  // namespace

std::optional<ClientLimit> SweepConnection(ServerConnection& connection,
                                           const HttpServerOptions& options,
                                           MonoTime now) {
  if (connection.is_gone() || !connection.is_serving()) {
    return std::nullopt;
  }
  if (options.m_budget != nullptr) {
    ChargeOutside(connection);
  }
  StoreDeadline(connection, options, now);
  if (now >= connection.deadline().m_at) {
    return LimitOf(connection.deadline().m_phase);
  }
  return std::nullopt;
}

}  // namespace comfreyshift
