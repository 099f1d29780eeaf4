#include "http/plain_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>

namespace comfreyshift {

namespace {

constexpr size_t kReadBytes = size_t{16} * 1024;

bool HasControls(const std::string& text) {
  return std::ranges::any_of(
      text, [](char c) { return g_ascii_iscntrl(c) != FALSE; });
}

// A path or a header may come from outside and must not end its line early.
bool IsSendable(const HttpCall& call) {
  return call.m_path.starts_with('/') && !HasControls(call.m_path) &&
         call.m_path.find(' ') == std::string::npos &&
         std::ranges::none_of(call.m_headers, [](const auto& header) {
           return HasControls(header.first) || HasControls(header.second);
         });
}

std::string EncodeRequest(const HttpCall& call, const std::string& host) {
  std::string text = call.m_method + " " + call.m_path + " HTTP/1.1\r\n";
  if (!call.m_headers.contains("Host")) {
    text += "Host: " + host + "\r\n";
  }
  for (const auto& [name, value] : call.m_headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  const bool has_body = !call.m_body.empty();
  if (has_body) {
    text += "Content-Type: " + call.m_content_type + "\r\n";
  }
  if (has_body || call.m_method == "POST" || call.m_method == "PUT") {
    text += "Content-Length: " + std::to_string(call.m_body.size()) + "\r\n";
  }
  return text + "\r\n" + call.m_body;
}

std::string TakeMessage(GError* error) {
  std::string message =
      error == nullptr ? "the connection is closed" : error->message;
  g_clear_error(&error);
  return message;
}

}  // namespace

PlainClient::PlainClient(const Address& server,
                         uint32_t connections,
                         uint64_t max_answer_bytes,
                         std::shared_ptr<ConnectionWatch> watch)
    : m_host(server.ToString()),
      m_address(g_inet_socket_address_new_from_string(server.m_host.c_str(),
                                                      server.m_port)),
      m_max_connections(connections),
      m_max_answer_bytes(max_answer_bytes),
      m_watch(std::move(watch)),
      // An answer that has arrived while the process could not run is read
      // before the deadline is looked at.
      m_timer([this]() { ExpireCalls(); }, LoopTimer::Order::kAfterInput) {}

PlainClient::~PlainClient() {
  while (!m_connections.empty()) {
    Close(m_connections.begin()->first);
  }
  g_object_unref(m_address);
}

void PlainClient::Abandon() {
  m_calls.clear();
  m_waiting.clear();
  m_deadlines.clear();
  while (!m_connections.empty()) {
    Close(m_connections.begin()->first);
  }
}

uint64_t PlainClient::Send(HttpCall call, HttpCallback callback) {
  const uint64_t id = m_next_id++;
  m_deadlines.emplace(call.m_deadline, id);
  m_calls[id] = {std::move(call), std::move(callback)};
  m_waiting.push_back(id);
  PumpLater();
  return id;
}

void PlainClient::Cancel(uint64_t id) {
  // Calls back after this function has returned.
  SocketPoller::Default().CallAfterInput([weak = weak_from_this(), id]() {
    if (const auto self = weak.lock()) {
      self->Fail(id, HttpCallFailure::kCancelled, "the call was cancelled");
    }
  });
}

void PlainClient::PumpLater() {
  if (std::exchange(m_is_pump_due, true)) {
    return;
  }
  SocketPoller::Default().CallAfterInput([weak = weak_from_this()]() {
    if (const auto self = weak.lock()) {
      self->Pump();
    }
  });
}

void PlainClient::Pump() {
  m_is_pump_due = false;
  const MonoTime now = BootClock::now();
  CloseIdle(now);
  while (!m_waiting.empty()) {
    const uint64_t id = m_waiting.front();
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
      m_waiting.pop_front();
      continue;
    }
    if (!IsSendable(found->second.m_call)) {
      Fail(id, HttpCallFailure::kConnection, "the request is malformed");
      continue;
    }
    if (now >= found->second.m_call.m_deadline) {
      Fail(id, HttpCallFailure::kDeadline, "the deadline has passed");
      continue;
    }
    if (m_idle.empty() && m_connections.size() >= m_max_connections) {
      break;
    }
    m_waiting.pop_front();
    if (const ConnectionId connection = TakeConnection(id)) {
      StartCall(id, connection);
    }
  }
  SetTimer();
}

PlainClient::ConnectionId PlainClient::TakeConnection(uint64_t call) {
  if (m_idle.empty()) {
    return Connect(call);
  }
  const ConnectionId connection = m_idle.back();
  m_idle.pop_back();
  return connection;
}

PlainClient::ConnectionId PlainClient::Connect(uint64_t call) {
  GError* error = nullptr;
  GSocket* socket =
      g_socket_new(g_socket_address_get_family(m_address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, &error);
  if (socket == nullptr) {
    Fail(call, HttpCallFailure::kConnection, TakeMessage(error));
    return 0;
  }
  g_socket_set_blocking(socket, FALSE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  const bool is_started =
      g_socket_connect(socket, m_address, nullptr, &error) != FALSE ||
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
  if (!is_started) {
    g_object_unref(socket);
    if (m_watch) {
      m_watch->OnRefused();
    }
    Fail(call, HttpCallFailure::kConnection, TakeMessage(error));
    return 0;
  }
  g_clear_error(&error);
  const ConnectionId id = m_next_id++;
  Connection& connection = m_connections[id];
  connection.m_socket = socket;
  connection.m_watch = SocketPoller::Default().Add(
      g_socket_get_fd(socket), SocketInterest::kInputAndOutput,
      [this, id](SocketEvents events) { OnReady(id, events); });
  return id;
}

void PlainClient::StartCall(uint64_t call, ConnectionId id) {
  Connection& connection = m_connections.at(id);
  connection.m_call = call;
  connection.m_parser = std::make_unique<ResponseParser>(m_max_answer_bytes);
  m_calls.at(call).m_connection = id;
  if (!connection.m_is_connecting && !BeginWriting(id)) {
    OnBroken(id, "the connection is closed");
  }
}

// Returns true also if the call has ended instead.
bool PlainClient::BeginWriting(ConnectionId id) {
  Connection& connection = m_connections.at(id);
  const uint64_t call_id = connection.m_call;
  const HttpCall& call = m_calls.at(call_id).m_call;
  if (BootClock::now() >= call.m_deadline) {
    Fail(call_id, HttpCallFailure::kDeadline, "the deadline has passed");
    return true;
  }
  if (call.m_may_send && !call.m_may_send()) {
    Fail(call_id, HttpCallFailure::kCancelled, "sending was not allowed");
    return true;
  }
  connection.m_output = EncodeRequest(call, m_host);
  connection.m_written = 0;
  return WriteAll(connection);
}

bool PlainClient::WriteAll(Connection& connection) {
  while (connection.m_written < connection.m_output.size()) {
    GError* error = nullptr;
    const gssize size = g_socket_send(
        connection.m_socket, connection.m_output.data() + connection.m_written,
        connection.m_output.size() - connection.m_written, nullptr, &error);
    if (size < 0) {
      const bool would_block =
          g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      g_error_free(error);
      SetWaitsToWrite(connection, would_block);
      return would_block;
    }
    connection.m_written += static_cast<size_t>(size);
  }
  SetWaitsToWrite(connection, false);
  return true;
}

void PlainClient::SetWaitsToWrite(Connection& connection, bool waits) {
  if (std::exchange(connection.m_waits_to_write, waits) != waits) {
    SocketPoller::Default().SetInterest(
        connection.m_watch,
        waits ? SocketInterest::kInputAndOutput : SocketInterest::kInput);
  }
}

void PlainClient::OnReady(ConnectionId id, SocketEvents) {
  const auto keep = shared_from_this();
  Connection& connection = m_connections.at(id);
  if (connection.m_is_connecting && !FinishConnecting(id)) {
    return;
  }
  if (!m_connections.contains(id)) {
    return;
  }
  if (connection.m_waits_to_write && !WriteAll(connection)) {
    OnBroken(id, "the connection is closed");
    return;
  }
  Read(id);
}

bool PlainClient::FinishConnecting(ConnectionId id) {
  Connection& connection = m_connections.at(id);
  GError* error = nullptr;
  if (!g_socket_check_connect_result(connection.m_socket, &error)) {
    OnBroken(id, TakeMessage(error));
    return false;
  }
  connection.m_is_connecting = false;
  if (m_watch) {
    m_watch->OnOpened(g_socket_get_fd(connection.m_socket));
  }
  if (!BeginWriting(id)) {
    OnBroken(id, "the connection is closed");
    return false;
  }
  return true;
}

void PlainClient::Read(ConnectionId id) {
  Connection& connection = m_connections.at(id);
  std::array<char, kReadBytes> buffer;
  GError* error = nullptr;
  const gssize size = g_socket_receive(connection.m_socket, buffer.data(),
                                       buffer.size(), nullptr, &error);
  if (size < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    g_error_free(error);
    return;
  }
  if (connection.m_call == 0 || size < 0) {
    // An idle connection has nothing to say but its end.
    OnBroken(id, TakeMessage(error));
    return;
  }
  const auto state = size == 0
                         ? connection.m_parser->FeedEnd()
                         : connection.m_parser->Feed(
                               {buffer.data(), static_cast<size_t>(size)});
  switch (state) {
    case ResponseParser::State::kIncomplete:
      return;
    case ResponseParser::State::kComplete:
      OnResponse(id);
      return;
    case ResponseParser::State::kMalformed:
      OnBroken(id, size == 0 ? "the connection broke before an answer"
                             : "the answer is not HTTP/1.1");
      return;
    case ResponseParser::State::kTooLarge:
      Fail(connection.m_call, HttpCallFailure::kAnswerTooLarge,
           "the answer has more than " + std::to_string(m_max_answer_bytes) +
               " bytes");
      return;
  }
}

void PlainClient::OnResponse(ConnectionId id) {
  Connection& connection = m_connections.at(id);
  const uint64_t call = std::exchange(connection.m_call, 0);
  HttpResponse response = connection.m_parser->TakeResponse();
  const bool is_reusable = connection.m_parser->can_be_kept() &&
                           connection.m_written == connection.m_output.size();
  connection.m_parser.reset();
  connection.m_output.clear();
  connection.m_written = 0;
  if (is_reusable) {
    connection.m_idle_since = BootClock::now();
    m_idle.push_back(id);
  } else {
    Close(id);
  }
  if (!m_waiting.empty()) {
    PumpLater();
  }
  End(call, std::move(response));
}

void PlainClient::OnBroken(ConnectionId id, const std::string& reason) {
  Connection& connection = m_connections.at(id);
  connection.m_has_ended = true;
  const uint64_t call = connection.m_call;
  if (call == 0) {
    Close(id);
    return;
  }
  Fail(call, HttpCallFailure::kConnection, reason);
}

void PlainClient::Close(ConnectionId id) {
  const auto found = m_connections.find(id);
  if (m_watch) {
    m_watch->OnClosed(g_socket_get_fd(found->second.m_socket),
                      found->second.m_has_ended);
  }
  SocketPoller::Default().Remove(found->second.m_watch);
  g_socket_close(found->second.m_socket, nullptr);
  g_object_unref(found->second.m_socket);
  std::erase(m_idle, id);
  m_connections.erase(found);
}

HttpCallState PlainClient::StateOf(const Call& call) const {
  const auto found = m_connections.find(call.m_connection);
  return found == m_connections.end() || found->second.m_written == 0
             ? HttpCallState::kNotSent
             : HttpCallState::kMayHaveBeenProcessed;
}

void PlainClient::Fail(uint64_t id,
                       HttpCallFailure failure,
                       const std::string& detail) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  const HttpCallState state = StateOf(found->second);
  if (found->second.m_connection != 0) {
    Close(found->second.m_connection);
    if (!m_waiting.empty()) {
      PumpLater();
    }
  }
  End(id, HttpCallError{state, failure, detail});
}

void PlainClient::End(uint64_t id, HttpCallResult result) {
  const auto found = m_calls.find(id);
  const HttpCallback callback = std::move(found->second.m_callback);
  m_deadlines.erase({found->second.m_call.m_deadline, id});
  m_calls.erase(found);
  // May destroy the client.
  callback(std::move(result));
}

void PlainClient::CloseIdle(MonoTime now) {
  while (!m_idle.empty() &&
         now >= m_connections.at(m_idle.front()).m_idle_since +
                    kIdleConnectionTime) {
    Close(m_idle.front());
  }
}

void PlainClient::ExpireCalls() {
  const auto keep = shared_from_this();
  m_timer_at = MonoTime::max();
  const MonoTime now = BootClock::now();
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    Fail(m_deadlines.begin()->second, HttpCallFailure::kDeadline,
         "the deadline has passed");
  }
  CloseIdle(now);
  SetTimer();
}

// An earlier time than needed stays set; most calls end long before it.
void PlainClient::SetTimer() {
  MonoTime next = MonoTime::max();
  if (!m_deadlines.empty()) {
    next = m_deadlines.begin()->first;
  }
  if (!m_idle.empty()) {
    next = std::min(next, m_connections.at(m_idle.front()).m_idle_since +
                              kIdleConnectionTime);
  }
  if (next >= m_timer_at) {
    return;
  }
  m_timer_at = next;
  m_timer.Set(next);
}

}  // namespace comfreyshift
