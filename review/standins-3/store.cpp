#include "store.hpp"

#include <chrono>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode(const std::string& bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string Decode(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const auto at = std::string_view(kDigits).find(c);
    if (at == std::string_view::npos) {
      break;
    }
    group = group << 6 | static_cast<uint32_t>(at);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255);
    }
  }
  return bytes;
}

std::string Query(const Request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

uint64_t Number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

Store::Store(const Endpoint& address)
    : m_server(std::make_unique<Server>(
          address,
          [this](const Request& request) { return Handle(request); })) {}

Store::~Store() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_server.reset();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  ++m_revision;
  Write(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  ++m_revision;
  Erase(key);
}

size_t Store::CountKeys(const std::string& prefix) {
  const std::lock_guard lock(m_mutex);
  ExpireLeases();
  size_t count = 0;
  for (const auto& [key, item] : m_items) {
    count += key.starts_with(prefix) ? 1 : 0;
  }
  return count;
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  uint64_t lease) {
  Item& item = m_items[key];
  if (item.created == 0) {
    item.created = m_revision;
  }
  item.value = value;
  item.revision = m_revision;
  item.lease = lease;
  m_events.push_back({m_revision, key, false, item});
  m_changed.notify_all();
}

void Store::Erase(const std::string& key) {
  if (m_items.erase(key) > 0) {
    m_events.push_back({m_revision, key, true, {}});
    m_changed.notify_all();
  }
}

void Store::EndLease(uint64_t lease) {
  m_leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    ++m_revision;
    Erase(key);
  }
}

void Store::ExpireLeases() {
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : m_leases) {
    if (SteadyMs() >= lease.ends_at_ms) {
      ended.push_back(id);
    }
  }
  for (const uint64_t id : ended) {
    EndLease(id);
  }
}

std::optional<Response> Store::Handle(const Request& request) {
  if (request.path == "/api/kv-watch") {
    return Watch(request);
  }
  const std::lock_guard lock(m_mutex);
  ExpireLeases();
  if (request.path == "/api/kv-range") {
    return Range(request);
  }
  if (request.path == "/api/kv-txn") {
    return Transact(request);
  }
  if (request.path == "/api/kv-key") {
    const std::string key = Query(request, "key");
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
      return Response{404, Json{{"at_rev", m_revision}}.dump()};
    }
    return Response{200, Json{{"key", key},
                              {"value", Encode(found->second.value)},
                              {"revision", found->second.revision},
                              {"created", found->second.created},
                              {"lease_id", found->second.lease},
                              {"at_rev", m_revision}}
                             .dump()};
  }
  if (request.path == "/api/kv-lease") {
    const int64_t ttl = Json::parse(request.body).value("ttl_ms", 6000);
    const uint64_t id = m_next_lease++;
    m_leases[id] = {ttl, SteadyMs() + ttl};
    return Response{200, Json{{"lease_id", id}, {"ttl_ms", ttl}}.dump()};
  }
  const uint64_t id = Number(request.path.substr(request.path.rfind('/') + 1));
  const auto lease = m_leases.find(id);
  if (lease == m_leases.end()) {
    return Response{404, "{}"};
  }
  if (request.path.starts_with("/api/kv-keep/")) {
    lease->second.ends_at_ms = SteadyMs() + lease->second.ttl_ms;
  } else {
    EndLease(id);
  }
  return Response{200, "{}"};
}

Response Store::Range(const Request& request) {
  Json items = Json::array();
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(Query(request, "prefix")) &&
        key > Query(request, "after")) {
      items.push_back({{"key", key},
                       {"value", Encode(item.value)},
                       {"revision", item.revision},
                       {"created", item.created},
                       {"lease_id", item.lease}});
    }
  }
  return {200,
          Json{{"items", items}, {"has_more", false}, {"at_rev", m_revision}}
              .dump()};
}

Response Store::Watch(const Request& request) {
  const std::string prefix = Query(request, "prefix");
  const uint64_t after = Number(Query(request, "after"));
  const int64_t until =
      SteadyMs() + static_cast<int64_t>(Number(Query(request, "wait_ms")));
  std::unique_lock lock(m_mutex);
  while (true) {
    ExpireLeases();
    Json events = Json::array();
    for (const Event& event : m_events) {
      if (event.revision <= after || !event.key.starts_with(prefix)) {
        continue;
      }
      if (event.removed) {
        events.push_back({{"key", event.key},
                          {"revision", event.revision},
                          {"tombstone", true}});
      } else {
        events.push_back({{"key", event.key},
                          {"value", Encode(event.item.value)},
                          {"revision", event.item.revision},
                          {"created", event.item.created},
                          {"lease_id", event.item.lease}});
      }
    }
    if (!events.empty() || SteadyMs() >= until || m_stopping) {
      return {200, Json{{"events", events}, {"at_rev", m_revision}}.dump()};
    }
    m_changed.wait_for(lock, std::chrono::milliseconds(
                                 std::min<int64_t>(100, until - SteadyMs())));
  }
}

Response Store::Transact(const Request& request) {
  const Json body = Json::parse(request.body);
  Json items = Json::array();
  bool holds = true;
  for (const Json& row : body.value("expect", Json::array())) {
    const std::string key = row.value("key", "");
    const auto found = m_items.find(key);
    const uint64_t revision =
        found == m_items.end() ? 0 : found->second.revision;
    holds &= revision == row.value("revision", uint64_t{0});
    if (found != m_items.end()) {
      items.push_back({{"key", key},
                       {"value", Encode(found->second.value)},
                       {"revision", revision}});
    }
  }
  if (!holds) {
    return {412, Json{{"items", items}}.dump()};
  }
  for (const Json& put : body.value("puts", Json::array())) {
    const uint64_t lease = put.value("lease_id", uint64_t{0});
    if (lease != 0 && !m_leases.contains(lease)) {
      return {404, "{}"};
    }
  }
  ++m_revision;
  for (const Json& put : body.value("puts", Json::array())) {
    Write(put.value("key", ""), Decode(put.value("value", "")),
          put.value("lease_id", uint64_t{0}));
  }
  for (const Json& key : body.value("remove", Json::array())) {
    Erase(key.get<std::string>());
  }
  return {200, Json{{"revision", m_revision}}.dump()};
}

}  // namespace review
