#include "tests/standins/store_standin.h"

#include <sys/socket.h>

#include <cstring>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kControlPrefix = "/standin/";
// How often expired leases are looked for.
constexpr guint kTickMs = 50;

// Leaves time for the answer to the control call that asked for the restart.
constexpr guint kRestartDelayMs = 20;

int QueryNumber(GHashTable* query, const char* name) {
  const char* text =
      query == nullptr
          ? nullptr
          : static_cast<const char*>(g_hash_table_lookup(query, name));
  return text == nullptr ? 0 : static_cast<int>(std::strtol(text, nullptr, 10));
}

StandinMode QueryMode(GHashTable* query) {
  const char* how =
      query == nullptr
          ? nullptr
          : static_cast<const char*>(g_hash_table_lookup(query, "how"));
  if (how != nullptr && std::strcmp(how, "close") == 0) {
    return StandinMode::kClosing;
  }
  if (how != nullptr && std::strcmp(how, "hang") == 0) {
    return StandinMode::kHanging;
  }
  return StandinMode::kRefusing;
}

void CloseConnection(SoupServerMessage* message) {
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr) {
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  }
}

Json RequestJson(SoupServerMessage* message) {
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  std::string_view text(body->data == nullptr ? "" : body->data,
                        static_cast<size_t>(body->length));
  return Json::parse(text, nullptr, false);
}

void SetAnswer(SoupServerMessage* message, const StandinAnswer& answer) {
  std::string text = answer.m_body.dump();
  soup_server_message_set_status(message, answer.m_status, nullptr);
  soup_server_message_set_response(message, "application/json",
                                   SOUP_MEMORY_COPY, text.data(), text.size());
}

StandinAnswer NoLeader() {
  return {503,
          {{"error", "etcdserver: no leader"},
           {"message", "etcdserver: no leader"},
           {"code", 14}}};
}

}  // namespace

// An answer that waits for its time.
struct StoreStandin::Delayed {
  StoreStandin* m_standin;
  SoupServerMessage* m_message;
  StandinAnswer m_answer;
};

StoreStandin::StoreStandin() {
  m_server = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(m_server, nullptr, &StoreStandin::OnRequest, this,
                          nullptr);
  m_tick = g_timeout_add(kTickMs, &StoreStandin::OnTick, this);
}

StoreStandin::~StoreStandin() {
  g_source_remove(m_tick);
  if (m_restart != 0) {
    g_source_remove(m_restart);
  }
  ForgetMessages();
  for (GSocket* socket : m_sockets) {
    g_object_unref(socket);
  }
  soup_server_disconnect(m_server);
  g_object_unref(m_server);
}

bool StoreStandin::Listen(uint16_t port) {
  GError* error = nullptr;
  if (!soup_server_listen_local(m_server, port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                &error)) {
    g_error_free(error);
    return false;
  }
  GSList* uris = soup_server_get_uris(m_server);
  m_port =
      static_cast<uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return true;
}

std::string StoreStandin::Url() const {
  return "http://127.0.0.1:" + std::to_string(m_port);
}

void StoreStandin::SetMode(StandinMode mode) {
  m_mode = mode;
  std::map<SoupServerMessage*, guint> held = m_held;
  for (auto [message, timer] : held) {
    CloseConnection(message);
    soup_server_message_unpause(message);
  }
}

void StoreStandin::LapseAllLeases() {
  m_state.LapseAllLeases();
  FeedWatchers();
}

void StoreStandin::ForgetMessages() {
  while (!m_held.empty()) {
    SoupServerMessage* message = m_held.begin()->first;
    g_signal_handlers_disconnect_by_data(message, this);
    DropHeld(message);
  }
  while (!m_watchers.empty()) {
    SoupServerMessage* message = m_watchers.front().m_message;
    g_signal_handlers_disconnect_by_data(message, this);
    DropWatcher(message);
  }
}

bool StoreStandin::Restart() {
  ForgetMessages();
  soup_server_disconnect(m_server);
  return Listen(m_port);
}

void StoreStandin::RestartSoon() {
  if (m_restart != 0) {
    return;
  }
  m_restart = g_timeout_add(
      kRestartDelayMs,
      [](gpointer data) -> gboolean {
        auto* self = static_cast<StoreStandin*>(data);
        self->m_restart = 0;
        self->Restart();
        return G_SOURCE_REMOVE;
      },
      this);
}

uint64_t StoreStandin::Count(const std::string& path) const {
  auto found = m_counts.find(path);
  return found == m_counts.end() ? 0 : found->second;
}

void StoreStandin::OnRequest(SoupServer* /*server*/,
                             SoupServerMessage* message,
                             const char* path,
                             GHashTable* query,
                             gpointer data) {
  auto* self = static_cast<StoreStandin*>(data);
  std::string name(path);
  if (name.starts_with(kControlPrefix)) {
    self->ServeControl(message, name.substr(kControlPrefix.size()), query);
    return;
  }
  self->Track(soup_server_message_get_socket(message));
  ++self->m_counts[name];
  self->Serve(message, name);
}

void StoreStandin::OnFinished(SoupServerMessage* message, gpointer data) {
  auto* self = static_cast<StoreStandin*>(data);
  g_signal_handlers_disconnect_by_data(message, data);
  self->DropHeld(message);
  self->DropWatcher(message);
}

void StoreStandin::DropWatcher(SoupServerMessage* message) {
  auto removed = m_watchers.remove_if(
      [message](const Watcher& w) { return w.m_message == message; });
  if (removed > 0) {
    g_object_unref(message);
  }
}

void StoreStandin::DropHeld(SoupServerMessage* message) {
  auto found = m_held.find(message);
  if (found == m_held.end()) {
    return;
  }
  if (found->second != 0) {
    g_source_remove(found->second);
  }
  m_held.erase(found);
  g_object_unref(message);
}

gboolean StoreStandin::OnTick(gpointer data) {
  auto* self = static_cast<StoreStandin*>(data);
  self->m_state.ExpireLeases(BootClock::now());
  self->FeedWatchers();
  self->CloseAbandoned();
  return G_SOURCE_CONTINUE;
}

void StoreStandin::Track(GSocket* socket) {
  if (socket != nullptr && m_sockets.insert(socket).second) {
    g_object_ref(socket);
  }
}

void StoreStandin::CloseAbandoned() {
  std::erase_if(m_sockets, [](GSocket* socket) {
    char byte = 0;
    bool ended =
        g_socket_is_closed(socket) != FALSE ||
        recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    if (ended) {
      g_socket_close(socket, nullptr);
      g_object_unref(socket);
    }
    return ended;
  });
}

void StoreStandin::Serve(SoupServerMessage* message, const std::string& path) {
  if (m_mode == StandinMode::kClosing) {
    CloseConnection(message);
    return;
  }
  if (m_mode == StandinMode::kHanging) {
    Hold(message);
    return;
  }
  if (m_mode == StandinMode::kRefusing) {
    Answer(message, NoLeader());
    return;
  }
  Json request = RequestJson(message);
  if (!request.is_object()) {
    Answer(message, {400, {{"message", "invalid JSON"}, {"code", 3}}});
    return;
  }
  if (path == "/v3/watch") {
    StartWatch(message, request);
    return;
  }
  int64_t revision = m_state.revision();
  StandinAnswer answer = Call(path, request);
  FeedWatchers();
  bool wrote = m_state.revision() != revision || path == "/v3/lease/grant";
  if (m_answers_to_lose > 0 && wrote) {
    --m_answers_to_lose;
    CloseConnection(message);
    return;
  }
  Answer(message, std::move(answer));
}

StandinAnswer StoreStandin::Call(const std::string& path, const Json& request) {
  MonoTime now = BootClock::now();
  if (path == "/v3/kv/range") {
    return m_state.Range(request);
  }
  if (path == "/v3/kv/put") {
    return m_state.Put(request);
  }
  if (path == "/v3/kv/txn") {
    return m_state.Txn(request);
  }
  if (path == "/v3/lease/grant") {
    return m_state.LeaseGrant(request, now);
  }
  if (path == "/v3/lease/keepalive") {
    return m_state.LeaseKeepAlive(request, now);
  }
  if (path == "/v3/lease/revoke") {
    return m_state.LeaseRevoke(request);
  }
  return {404, {{"message", "Not Found"}, {"code", 5}}};
}

void StoreStandin::Answer(SoupServerMessage* message, StandinAnswer answer) {
  if (m_delay > Milliseconds(0)) {
    AnswerLater(message, std::move(answer));
    return;
  }
  SetAnswer(message, answer);
}

void StoreStandin::Follow(SoupServerMessage* message) {
  for (const char* end : {"finished", "disconnected"}) {
    g_signal_connect(message, end, G_CALLBACK(&StoreStandin::OnFinished), this);
  }
}

void StoreStandin::Hold(SoupServerMessage* message) {
  g_object_ref(message);
  m_held[message] = 0;
  Follow(message);
  soup_server_message_pause(message);
}

void StoreStandin::AnswerLater(SoupServerMessage* message,
                               StandinAnswer answer) {
  Hold(message);
  auto* delayed = new Delayed{this, message, std::move(answer)};
  m_held[message] = g_timeout_add_full(
      G_PRIORITY_DEFAULT, static_cast<guint>(m_delay.count()), &OnDelayOver,
      delayed, [](gpointer data) { delete static_cast<Delayed*>(data); });
}

gboolean StoreStandin::OnDelayOver(gpointer data) {
  auto* due = static_cast<Delayed*>(data);
  due->m_standin->m_held[due->m_message] = 0;
  SetAnswer(due->m_message, due->m_answer);
  soup_server_message_unpause(due->m_message);
  return G_SOURCE_REMOVE;
}

void StoreStandin::StartWatch(SoupServerMessage* message, const Json& request) {
  Json create = request.value("create_request", Json::object());
  Watcher watcher;
  watcher.m_message = message;
  watcher.m_key = StandinBytes(create, "key");
  watcher.m_range_end = StandinBytes(create, "range_end");
  int64_t start = StandinInteger(create, "start_revision");
  const auto& events = m_state.events();
  watcher.m_next_event = events.size();
  while (start > 0 && watcher.m_next_event > 0 &&
         events[watcher.m_next_event - 1].m_content.m_mod_revision >= start) {
    --watcher.m_next_event;
  }
  soup_server_message_set_status(message, 200, nullptr);
  soup_message_headers_set_encoding(
      soup_server_message_get_response_headers(message), SOUP_ENCODING_CHUNKED);
  g_object_ref(message);
  Follow(message);
  std::string line =
      Json{{"result", {{"header", m_state.Header()}, {"created", true}}}}
          .dump() +
      "\n";
  soup_message_body_append(soup_server_message_get_response_body(message),
                           SOUP_MEMORY_COPY, line.data(), line.size());
  m_watchers.push_back(std::move(watcher));
  Feed(m_watchers.back());
}

void StoreStandin::FeedWatchers() {
  for (Watcher& watcher : m_watchers) {
    Feed(watcher);
  }
}

void StoreStandin::Feed(Watcher& watcher) {
  Json events = Json::array();
  const auto& all = m_state.events();
  for (; watcher.m_next_event < all.size(); ++watcher.m_next_event) {
    const StandinEvent& event = all[watcher.m_next_event];
    if (StandinInRange(event.m_key, watcher.m_key, watcher.m_range_end)) {
      events.push_back(StandinEventJson(event));
    }
  }
  if (events.empty()) {
    return;
  }
  std::string line =
      Json{{"result",
            {{"header", m_state.Header()}, {"events", std::move(events)}}}}
          .dump() +
      "\n";
  soup_message_body_append(
      soup_server_message_get_response_body(watcher.m_message),
      SOUP_MEMORY_COPY, line.data(), line.size());
  soup_server_message_unpause(watcher.m_message);
}

void StoreStandin::ServeControl(SoupServerMessage* message,
                                const std::string& name,
                                GHashTable* query) {
  if (name == "counts" &&
      soup_server_message_get_method(message) == SOUP_METHOD_GET) {
    SetAnswer(message, {200, m_counts});
    return;
  }
  bool known = Control(name, query);
  SetAnswer(message, {known ? 200 : 404, Json::object()});
}

bool StoreStandin::Control(const std::string& name, GHashTable* query) {
  if (name == "down") {
    SetMode(QueryMode(query));
  } else if (name == "up") {
    SetMode(StandinMode::kUp);
  } else if (name == "slow") {
    SetDelay(Milliseconds(QueryNumber(query, "ms")));
  } else if (name == "lossy") {
    LoseAnswers(QueryNumber(query, "writes"));
  } else if (name == "lapse-leases") {
    LapseAllLeases();
  } else if (name == "restart") {
    RestartSoon();
  } else if (name == "counts") {
    m_counts.clear();
  } else {
    return false;
  }
  return true;
}

}  // namespace comfreyshift
