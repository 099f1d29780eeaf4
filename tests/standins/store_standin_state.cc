#include "tests/standins/store_standin_state.h"

#include <glib.h>

#include <algorithm>
#include <set>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// The protocol's default for operations in one transaction.
constexpr size_t kMaxTxnOperations = 128;

// gRPC status codes and the HTTP statuses that the gateway maps them to.
constexpr int kInvalidArgument = 3;
constexpr int kNotFound = 5;

std::string Base64(const std::string& bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()),
                                bytes.size());
  std::string result(text);
  g_free(text);
  return result;
}

StandinAnswer Error(int code, const std::string& message) {
  int status = code == kNotFound ? 404 : 400;
  return {status, {{"error", message}, {"message", message}, {"code", code}}};
}

Json KeyJson(const std::string& key, const StandinKey& content) {
  Json json = {{"key", Base64(key)},
               {"create_revision", std::to_string(content.m_create_revision)},
               {"mod_revision", std::to_string(content.m_mod_revision)},
               {"version", std::to_string(content.m_version)}};
  if (!content.m_value.empty()) {
    json["value"] = Base64(content.m_value);
  }
  if (content.m_lease != 0) {
    json["lease"] = std::to_string(content.m_lease);
  }
  return json;
}

Json Elements(const Json& json, const char* name) {
  return json.value(name, Json::array());
}

template <class T>
bool Holds(const std::string& result, const T& left, const T& right) {
  if (result == "GREATER") {
    return left > right;
  }
  if (result == "LESS") {
    return left < right;
  }
  if (result == "NOT_EQUAL") {
    return left != right;
  }
  return left == right;
}

}  // namespace

std::string StandinBytes(const Json& json, const char* name) {
  std::string text = json.value(name, "");
  gsize length = 0;
  guchar* bytes = g_base64_decode(text.c_str(), &length);
  std::string result(reinterpret_cast<const char*>(bytes), length);
  g_free(bytes);
  return result;
}

int64_t StandinInteger(const Json& json, const char* name) {
  auto found = json.find(name);
  if (found == json.end()) {
    return 0;
  }
  return found->is_string() ? std::stoll(found->get<std::string>())
                            : found->get<int64_t>();
}

bool StandinInRange(const std::string& key,
                    const std::string& begin,
                    const std::string& end) {
  if (end.empty()) {
    return key == begin;
  }
  return key >= begin && (end == std::string(1, '\0') || key < end);
}

Json StandinEventJson(const StandinEvent& event) {
  Json json = {{"kv", KeyJson(event.m_key, event.m_content)}};
  if (event.m_deleted) {
    json["type"] = "DELETE";
  }
  return json;
}

Json StandinState::Header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(m_revision)},
          {"raft_term", "1"}};
}

StandinAnswer StandinState::Range(const Json& request) const {
  std::string begin = StandinBytes(request, "key");
  std::string end = StandinBytes(request, "range_end");
  int64_t min_mod = StandinInteger(request, "min_mod_revision");
  auto limit = static_cast<size_t>(StandinInteger(request, "limit"));
  Json found = Json::array();
  int64_t count = 0;
  for (auto it = m_keys.lower_bound(begin);
       it != m_keys.end() && StandinInRange(it->first, begin, end); ++it) {
    ++count;
    if (it->second.m_mod_revision >= min_mod) {
      found.push_back(KeyJson(it->first, it->second));
    }
  }
  if (request.value("sort_order", "") == "DESCEND") {
    std::reverse(found.begin(), found.end());
  }
  Json body = {{"header", Header()}, {"count", std::to_string(count)}};
  if (limit != 0 && found.size() > limit) {
    found.erase(found.begin() + static_cast<int64_t>(limit), found.end());
    body["more"] = true;
  }
  if (!found.empty()) {
    body["kvs"] = std::move(found);
  }
  return {200, std::move(body)};
}

void StandinState::PutAt(int64_t revision, const Json& request) {
  std::string key = StandinBytes(request, "key");
  StandinKey& content = m_keys[key];
  if (content.m_version == 0) {
    content.m_create_revision = revision;
  }
  content.m_value = StandinBytes(request, "value");
  content.m_mod_revision = revision;
  ++content.m_version;
  content.m_lease = StandinInteger(request, "lease");
  m_events.push_back({key, false, content});
}

StandinAnswer StandinState::Put(const Json& request) {
  int64_t lease = StandinInteger(request, "lease");
  if (lease != 0 && !m_leases.contains(lease)) {
    return Error(kNotFound, "etcdserver: requested lease not found");
  }
  PutAt(++m_revision, request);
  return {200, {{"header", Header()}}};
}

void StandinState::EraseKey(int64_t revision, const std::string& key) {
  m_keys.erase(key);
  StandinKey deleted;
  deleted.m_mod_revision = revision;
  m_events.push_back({key, true, deleted});
}

int64_t StandinState::DeleteAt(int64_t revision,
                               const std::string& key,
                               const std::string& range_end) {
  std::vector<std::string> doomed;
  for (auto it = m_keys.lower_bound(key);
       it != m_keys.end() && StandinInRange(it->first, key, range_end); ++it) {
    doomed.push_back(it->first);
  }
  for (const std::string& name : doomed) {
    EraseKey(revision, name);
  }
  return static_cast<int64_t>(doomed.size());
}

bool StandinState::Compare(const Json& compare) const {
  auto found = m_keys.find(StandinBytes(compare, "key"));
  bool exists = found != m_keys.end();
  const StandinKey content = exists ? found->second : StandinKey();
  std::string result = compare.value("result", "EQUAL");
  std::string target = compare.value("target", "VERSION");
  if (target == "VALUE") {
    return exists &&
           Holds(result, content.m_value, StandinBytes(compare, "value"));
  }
  if (target == "MOD") {
    return Holds(result, content.m_mod_revision,
                 StandinInteger(compare, "mod_revision"));
  }
  return Holds(result, content.m_version, StandinInteger(compare, "version"));
}

StandinAnswer StandinState::CheckOperations(const Json& operations) const {
  if (operations.size() > kMaxTxnOperations) {
    return Error(kInvalidArgument,
                 "etcdserver: too many operations in txn request");
  }
  std::set<std::string> written;
  for (const Json& operation : operations) {
    if (!operation.contains("request_put")) {
      continue;
    }
    const Json& put = operation["request_put"];
    if (!written.insert(StandinBytes(put, "key")).second) {
      return Error(kInvalidArgument,
                   "etcdserver: duplicate key given in txn request");
    }
    int64_t lease = StandinInteger(put, "lease");
    if (lease != 0 && !m_leases.contains(lease)) {
      return Error(kNotFound, "etcdserver: requested lease not found");
    }
  }
  return {};
}

Json StandinState::Run(int64_t revision, const Json& operation) {
  if (operation.contains("request_put")) {
    m_revision = revision;
    PutAt(revision, operation["request_put"]);
    return {{"response_put", {{"header", Header()}}}};
  }
  if (operation.contains("request_delete_range")) {
    const Json& request = operation["request_delete_range"];
    int64_t deleted = DeleteAt(revision, StandinBytes(request, "key"),
                               StandinBytes(request, "range_end"));
    if (deleted > 0) {
      m_revision = revision;
    }
    return {{"response_delete_range",
             {{"header", Header()}, {"deleted", std::to_string(deleted)}}}};
  }
  return {{"response_range", Range(operation["request_range"]).m_body}};
}

StandinAnswer StandinState::Txn(const Json& request) {
  Json compares = Elements(request, "compare");
  bool succeeded = std::all_of(compares.begin(), compares.end(),
                               [this](const Json& c) { return Compare(c); });
  for (const char* branch : {"success", "failure"}) {
    StandinAnswer check = CheckOperations(Elements(request, branch));
    if (check.m_status != 200) {
      return check;
    }
  }
  if (compares.size() > kMaxTxnOperations) {
    return Error(kInvalidArgument,
                 "etcdserver: too many operations in txn request");
  }
  int64_t revision = m_revision + 1;
  Json responses = Json::array();
  for (const Json& operation :
       Elements(request, succeeded ? "success" : "failure")) {
    responses.push_back(Run(revision, operation));
  }
  Json body = {{"header", Header()}, {"responses", std::move(responses)}};
  if (succeeded) {
    body["succeeded"] = true;
  }
  return {200, std::move(body)};
}

StandinAnswer StandinState::LeaseGrant(const Json& request, MonoTime now) {
  std::chrono::seconds ttl(
      std::max<int64_t>(1, StandinInteger(request, "TTL")));
  int64_t id = ++m_last_lease;
  m_leases[id] = {ttl, now + ttl};
  return {200,
          {{"header", Header()},
           {"ID", std::to_string(id)},
           {"TTL", std::to_string(ttl.count())}}};
}

StandinAnswer StandinState::LeaseKeepAlive(const Json& request, MonoTime now) {
  int64_t id = StandinInteger(request, "ID");
  Json result = {{"header", Header()}, {"ID", std::to_string(id)}};
  auto found = m_leases.find(id);
  if (found != m_leases.end()) {
    found->second.m_expiry = now + found->second.m_ttl;
    result["TTL"] = std::to_string(found->second.m_ttl.count());
  }
  return {200, {{"result", std::move(result)}}};
}

void StandinState::DropLease(int64_t lease) {
  m_leases.erase(lease);
  std::vector<std::string> doomed;
  for (const auto& [key, content] : m_keys) {
    if (content.m_lease == lease) {
      doomed.push_back(key);
    }
  }
  if (doomed.empty()) {
    return;
  }
  ++m_revision;
  for (const std::string& key : doomed) {
    EraseKey(m_revision, key);
  }
}

StandinAnswer StandinState::LeaseRevoke(const Json& request) {
  int64_t id = StandinInteger(request, "ID");
  if (!m_leases.contains(id)) {
    return Error(kNotFound, "etcdserver: requested lease not found");
  }
  DropLease(id);
  return {200, {{"header", Header()}}};
}

void StandinState::ExpireLeases(MonoTime now) {
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : m_leases) {
    if (lease.m_expiry <= now) {
      expired.push_back(id);
    }
  }
  for (int64_t id : expired) {
    DropLease(id);
  }
}

void StandinState::LapseAllLeases() {
  while (!m_leases.empty()) {
    DropLease(m_leases.begin()->first);
  }
}

}  // namespace comfreyshift
