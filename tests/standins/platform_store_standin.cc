#include "tests/standins/platform_store_standin.h"

#include <glib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr uint64_t kMaxBodyBytes = uint64_t{1} << 20;
constexpr const char* kJson = "application/json";

std::string EncodeBase64(const std::string& bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()),
                                bytes.size());
  std::string encoded(text);
  g_free(text);
  return encoded;
}

std::string DecodeBase64(const std::string& text) {
  gsize size = 0;
  guchar* bytes = g_base64_decode(text.c_str(), &size);
  std::string decoded(reinterpret_cast<const char*>(bytes), size);
  g_free(bytes);
  return decoded;
}

uint64_t NumberQuery(const HttpRequest& request, const char* name) {
  const auto value = request.Query(name);
  return value ? std::stoull(*value) : 0;
}

}  // namespace

PlatformStoreStandin::PlatformStoreStandin() : m_server(kMaxBodyBytes) {
  Route("GET", "/api/kv-key", &PlatformStoreStandin::HandleKey);
  Route("GET", "/api/kv-range", &PlatformStoreStandin::HandleRange);
  Route("GET", "/api/kv-watch", &PlatformStoreStandin::HandleWatch);
  Route("POST", "/api/kv-txn", &PlatformStoreStandin::HandleTransaction);
  Route("POST", "/api/kv-lease", &PlatformStoreStandin::HandleLease);
  Route("POST", "/api/kv-keep/{}", &PlatformStoreStandin::HandleKeep);
  Route("DELETE", "/api/kv-lease-end/{}",
        &PlatformStoreStandin::HandleLeaseEnd);
  m_address = m_server.Listen({"127.0.0.1", 0}).value();
}

void PlatformStoreStandin::Route(
    const char* method,
    const char* path,
    void (PlatformStoreStandin::*handler)(const RequestPointer&)) {
  m_server.AddRoute(method, path, PublicAccess{},
                    [this, handler](const RequestPointer& request) {
                      ++m_calls;
                      if (m_is_down) {
                        request->Reply(503, kJson, "{}");
                      } else {
                        (this->*handler)(request);
                      }
                    });
}

void PlatformStoreStandin::Put(const std::string& key,
                               const std::string& value) {
  m_items[key] = {value, ++m_revision, 0};
  m_events.push_back({key, m_revision, false});
  WakeWatches();
}

void PlatformStoreStandin::Remove(const std::string& key) {
  if (m_items.erase(key) > 0) {
    m_events.push_back({key, ++m_revision, true});
    WakeWatches();
  }
}

void PlatformStoreStandin::Compact() {
  m_compacted = ++m_revision;
  m_events.clear();
  for (const Watch& watch : std::exchange(m_watches, {})) {
    watch.m_request->Reply(410, kJson, "{}");
  }
}

void PlatformStoreStandin::SpoilHistory() {
  m_spoiled = ++m_revision;
}

void PlatformStoreStandin::EndLeases() {
  m_leases.clear();
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease != 0) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key);
  }
}

std::string PlatformStoreStandin::ItemJson(const std::string& key,
                                           const Item& item) const {
  return Json{{"key", key},
              {"value", EncodeBase64(item.m_value)},
              {"revision", item.m_revision},
              {"lease_id", item.m_lease},
              {"at_rev", m_revision}}
      .dump();
}

void PlatformStoreStandin::HandleKey(const RequestPointer& request) {
  const auto found = m_items.find(request->Query("key").value_or(""));
  if (found == m_items.end()) {
    request->Reply(404, kJson, "{}");
  } else {
    request->Reply(200, kJson, ItemJson(found->first, found->second));
  }
}

void PlatformStoreStandin::HandleRange(const RequestPointer& request) {
  const std::string prefix = request->Query("prefix").value_or("");
  Json items = Json::array();
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix)) {
      items.push_back(Json::parse(ItemJson(key, item)));
    }
  }
  request->Reply(
      200, kJson,
      Json{{"items", items}, {"has_more", false}, {"at_rev", m_revision}}
          .dump());
}

std::string PlatformStoreStandin::EventsAfter(const std::string& prefix,
                                              uint64_t revision) const {
  Json events = Json::array();
  for (const Event& event : m_events) {
    if (event.m_revision <= revision || !event.m_key.starts_with(prefix)) {
      continue;
    }
    const auto item = m_items.find(event.m_key);
    if (event.m_is_removal) {
      events.push_back({{"key", event.m_key},
                        {"revision", event.m_revision},
                        {"tombstone", true}});
    } else if (item != m_items.end()) {
      events.push_back(Json::parse(ItemJson(item->first, item->second)));
    }
  }
  return Json{{"events", events}, {"at_rev", m_revision}}.dump();
}

void PlatformStoreStandin::HandleWatch(const RequestPointer& request) {
  Watch watch{request, request->Query("prefix").value_or(""),
              NumberQuery(*request, "after"), m_next_id++};
  if (watch.m_after < m_compacted) {
    request->Reply(410, kJson, "{}");
    return;
  }
  const auto wait = NumberQuery(*request, "wait_ms");
  m_watches.push_back(watch);
  struct Timeout {
    PlatformStoreStandin* m_store;
    uint64_t m_id;
    std::shared_ptr<bool> m_is_alive;
  };
  const auto expire = [](gpointer data) -> gboolean {
    const std::unique_ptr<Timeout> timeout(static_cast<Timeout*>(data));
    if (!*timeout->m_is_alive) {
      return G_SOURCE_REMOVE;
    }
    auto& watches = timeout->m_store->m_watches;
    const auto found = std::ranges::find(watches, timeout->m_id, &Watch::m_id);
    if (found != watches.end()) {
      const Watch expired = *found;
      watches.erase(found);
      timeout->m_store->AnswerWatch(expired);
    }
    return G_SOURCE_REMOVE;
  };
  g_timeout_add(static_cast<guint>(wait), expire,
                new Timeout{this, watch.m_id, m_is_alive});
  WakeWatches();
}

void PlatformStoreStandin::AnswerWatch(const Watch& watch) {
  if (m_is_down) {
    watch.m_request->Reply(503, kJson, "{}");
  } else if (watch.m_after < m_spoiled) {
    watch.m_request->Reply(200, kJson, "{\"events\":");
  } else {
    watch.m_request->Reply(200, kJson,
                           EventsAfter(watch.m_prefix, watch.m_after));
  }
}

void PlatformStoreStandin::WakeWatches() {
  std::erase_if(m_watches, [this](const Watch& watch) {
    const bool has_news = std::ranges::any_of(m_events, [&](const Event& e) {
      return e.m_revision > watch.m_after &&
             e.m_key.starts_with(watch.m_prefix);
    });
    if (has_news) {
      AnswerWatch(watch);
    }
    return has_news;
  });
}

std::string PlatformStoreStandin::Value(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? "" : found->second.m_value;
}

void PlatformStoreStandin::ReleaseTransactions() {
  m_holds_transactions = false;
  for (const RequestPointer& request : std::exchange(m_held_transactions, {})) {
    Execute(request);
  }
}

void PlatformStoreStandin::HandleTransaction(const RequestPointer& request) {
  if (m_holds_transactions) {
    m_held_transactions.push_back(request);
  } else {
    Execute(request);
  }
}

void PlatformStoreStandin::Execute(const RequestPointer& request) {
  const Json body = Json::parse(request->body());
  for (const Json& row : body["expect"]) {
    const auto found = m_items.find(row["key"].get<std::string>());
    const uint64_t revision =
        found == m_items.end() ? 0 : found->second.m_revision;
    if (row["revision"] != revision) {
      request->Reply(412, kJson, R"({"items":[]})");
      return;
    }
  }
  for (const Json& put : body["puts"]) {
    const uint64_t lease = put.value("lease_id", uint64_t{0});
    if (lease != 0 && !m_leases.contains(lease)) {
      request->Reply(404, kJson, "{}");
      return;
    }
  }
  for (const Json& put : body["puts"]) {
    const std::string key = put["key"];
    std::string value = DecodeBase64(put["value"]);
    if (m_rewrite) {
      value = m_rewrite(key, std::move(value));
    }
    m_items[key] = {std::move(value), ++m_revision,
                    put.value("lease_id", uint64_t{0})};
    m_events.push_back({key, m_revision, false});
  }
  request->Reply(200, kJson, Json{{"revision", m_revision}}.dump());
  WakeWatches();
}

void PlatformStoreStandin::HandleLease(const RequestPointer& request) {
  const uint64_t lease = m_next_id++;
  m_leases[lease] = true;
  request->Reply(200, kJson,
                 Json{{"lease_id", lease}, {"ttl_ms", 6000}}.dump());
}

void PlatformStoreStandin::HandleKeep(const RequestPointer& request) {
  const uint64_t lease = std::stoull(request->arguments().front());
  request->Reply(m_leases.contains(lease) ? 200 : 404, kJson, "{}");
}

void PlatformStoreStandin::HandleLeaseEnd(const RequestPointer& request) {
  const uint64_t lease = std::stoull(request->arguments().front());
  m_leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key);
  }
  request->Reply(200, kJson, "{}");
}

}  // namespace comfreyshift
