#include "store/codec.h"

#include <glib.h>

#include <charconv>
#include <nlohmann/json.hpp>

#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

std::string EncodeBase64(std::string_view bytes) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()),
                                bytes.size());
  std::string result(text);
  g_free(text);
  return result;
}

std::string DecodeBase64(const std::string& text) {
  gsize length = 0;
  guchar* bytes = g_base64_decode(text.c_str(), &length);
  std::string result(reinterpret_cast<const char*>(bytes), length);
  g_free(bytes);
  return result;
}

void SetBytes(Json& json, const char* name, std::string_view bytes) {
  if (!bytes.empty()) {
    json[name] = EncodeBase64(bytes);
  }
}

template <class Integer>
void SetInteger(Json& json, const char* name, Integer value) {
  if (value != 0) {
    json[name] = std::to_string(value);
  }
}

template <class Integer>
Integer ReadInteger(const Json& json, const char* name) {
  auto found = json.find(name);
  if (found == json.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<Integer>();
  }
  Integer value = 0;
  if (const auto* text = found->get_ptr<const std::string*>()) {
    std::from_chars(text->data(), text->data() + text->size(), value);
  }
  return value;
}

std::string ReadString(const Json& json, const char* name) {
  auto found = json.find(name);
  if (found == json.end() || !found->is_string()) {
    return {};
  }
  return found->get<std::string>();
}

std::string ReadBytes(const Json& json, const char* name) {
  return DecodeBase64(ReadString(json, name));
}

bool ReadBool(const Json& json, const char* name) {
  auto found = json.find(name);
  return found != json.end() && found->is_boolean() && found->get<bool>();
}

const Json& Member(const Json& json, const char* name) {
  static const Json empty = Json::object();
  auto found = json.find(name);
  return found == json.end() || !found->is_object() ? empty : *found;
}

const Json& Elements(const Json& json, const char* name) {
  static const Json empty = Json::array();
  auto found = json.find(name);
  return found == json.end() || !found->is_array() ? empty : *found;
}

Json RangeJson(const RangeRequest& request) {
  Json json = Json::object();
  SetBytes(json, "key", request.m_key);
  SetBytes(json, "range_end", request.m_range_end);
  SetInteger(json, "limit", request.m_limit);
  SetInteger(json, "min_mod_revision", request.m_min_mod_revision);
  if (request.m_order == RangeOrder::kKeyDescending) {
    json["sort_order"] = "DESCEND";
    json["sort_target"] = "KEY";
  }
  return json;
}

Json PutJson(const PutRequest& request) {
  Json json = Json::object();
  SetBytes(json, "key", request.m_key);
  SetBytes(json, "value", request.m_value);
  SetInteger(json, "lease", request.m_lease);
  return json;
}

Json DeleteJson(const DeleteRequest& request) {
  Json json = Json::object();
  SetBytes(json, "key", request.m_key);
  SetBytes(json, "range_end", request.m_range_end);
  return json;
}

struct OperationWriter {
  Json operator()(const RangeRequest& request) const {
    return {{"request_range", RangeJson(request)}};
  }
  Json operator()(const PutRequest& request) const {
    return {{"request_put", PutJson(request)}};
  }
  Json operator()(const DeleteRequest& request) const {
    return {{"request_delete_range", DeleteJson(request)}};
  }
};

Json OperationsJson(const std::vector<TxnOperation>& operations) {
  Json json = Json::array();
  for (const TxnOperation& operation : operations) {
    json.push_back(std::visit(OperationWriter(), operation));
  }
  return json;
}

// The compared value is written even when it is 0 or empty: it selects the
// member of the protocol's union.
struct CompareWriter {
  Json& m_json;

  void operator()(const CompareModRevision& target) const {
    m_json["target"] = "MOD";
    m_json["mod_revision"] = std::to_string(target.m_mod_revision);
  }
  void operator()(const CompareVersion& target) const {
    m_json["target"] = "VERSION";
    m_json["version"] = std::to_string(target.m_version);
  }
  void operator()(const CompareValue& target) const {
    m_json["target"] = "VALUE";
    m_json["value"] = EncodeBase64(target.m_value);
  }
};

const char* ResultName(CompareResult result) {
  switch (result) {
    case CompareResult::kEqual:
      return "EQUAL";
    case CompareResult::kNotEqual:
      return "NOT_EQUAL";
    case CompareResult::kGreater:
      return "GREATER";
    case CompareResult::kLess:
      return "LESS";
  }
  return "EQUAL";
}

Json CompareJson(const TxnCompare& compare) {
  Json json = Json::object();
  SetBytes(json, "key", compare.m_key);
  json["result"] = ResultName(compare.m_result);
  std::visit(CompareWriter{json}, compare.m_target);
  return json;
}

Revision HeaderRevision(const Json& json) {
  return ReadInteger<Revision>(Member(json, "header"), "revision");
}

KeyValue ReadKeyValue(const Json& json) {
  KeyValue key_value;
  key_value.m_key = ReadBytes(json, "key");
  key_value.m_value = ReadBytes(json, "value");
  key_value.m_create_revision = ReadInteger<Revision>(json, "create_revision");
  key_value.m_mod_revision = ReadInteger<Revision>(json, "mod_revision");
  key_value.m_version = ReadInteger<uint64_t>(json, "version");
  key_value.m_lease = ReadInteger<int64_t>(json, "lease");
  return key_value;
}

RangeReply ReadRange(const Json& json) {
  RangeReply reply;
  reply.m_revision = HeaderRevision(json);
  reply.m_more = ReadBool(json, "more");
  for (const Json& element : Elements(json, "kvs")) {
    reply.m_key_values.push_back(ReadKeyValue(element));
  }
  return reply;
}

std::optional<TxnOperationReply> ReadOperation(const Json& json) {
  if (json.contains("response_range")) {
    return ReadRange(Member(json, "response_range"));
  }
  if (json.contains("response_put")) {
    return PutReply{HeaderRevision(Member(json, "response_put"))};
  }
  if (json.contains("response_delete_range")) {
    return DeleteReply{ReadInteger<uint64_t>(
        Member(json, "response_delete_range"), "deleted")};
  }
  return std::nullopt;
}

LeaseReply ReadLease(const Json& json) {
  LeaseReply reply;
  reply.m_lease = ReadInteger<LeaseId>(json, "ID");
  reply.m_ttl = std::chrono::seconds(ReadInteger<int64_t>(json, "TTL"));
  return reply;
}

// Every answer but those of streams carries the header with the revision, which
// is at least 1. An answer without it comes from something else.
std::optional<Json> ParseAnswer(std::string_view body) {
  auto json = ParseJsonObject(body);
  if (!json || HeaderRevision(*json) == 0) {
    return std::nullopt;
  }
  return json;
}

}  // namespace

std::string EncodeRange(const RangeRequest& request) {
  return DumpJson(RangeJson(request));
}

std::string EncodePut(const PutRequest& request) {
  return DumpJson(PutJson(request));
}

std::string EncodeTxn(const TxnRequest& request) {
  Json json = Json::object();
  json["compare"] = Json::array();
  for (const TxnCompare& compare : request.m_compares) {
    json["compare"].push_back(CompareJson(compare));
  }
  json["success"] = OperationsJson(request.m_success);
  json["failure"] = OperationsJson(request.m_failure);
  return DumpJson(json);
}

std::string EncodeLeaseGrant(std::chrono::seconds ttl) {
  return DumpJson(Json{{"TTL", std::to_string(ttl.count())}});
}

std::string EncodeLeaseId(LeaseId lease) {
  return DumpJson(Json{{"ID", std::to_string(lease)}});
}

std::string EncodeWatch(const WatchRequest& request) {
  Json create = Json::object();
  SetBytes(create, "key", request.m_key);
  SetBytes(create, "range_end", request.m_range_end);
  SetInteger(create, "start_revision", request.m_start_revision);
  return DumpJson(Json{{"create_request", create}});
}

std::optional<RangeReply> DecodeRange(std::string_view body) {
  std::optional<Json> json = ParseAnswer(body);
  if (!json) {
    return std::nullopt;
  }
  return ReadRange(*json);
}

std::optional<PutReply> DecodePut(std::string_view body) {
  std::optional<Json> json = ParseAnswer(body);
  if (!json) {
    return std::nullopt;
  }
  return PutReply{HeaderRevision(*json)};
}

std::optional<TxnReply> DecodeTxn(std::string_view body) {
  std::optional<Json> json = ParseAnswer(body);
  if (!json) {
    return std::nullopt;
  }
  TxnReply reply;
  reply.m_revision = HeaderRevision(*json);
  reply.m_succeeded = ReadBool(*json, "succeeded");
  for (const Json& element : Elements(*json, "responses")) {
    std::optional<TxnOperationReply> operation = ReadOperation(element);
    if (!operation) {
      return std::nullopt;
    }
    reply.m_replies.push_back(*std::move(operation));
  }
  return reply;
}

std::optional<LeaseReply> DecodeLeaseGrant(std::string_view body) {
  std::optional<Json> json = ParseAnswer(body);
  if (!json || !json->contains("ID")) {
    return std::nullopt;
  }
  return ReadLease(*json);
}

// The gateway serves keep-alive as a stream, whose elements are in `result`.
std::optional<LeaseReply> DecodeLeaseKeepAlive(std::string_view body) {
  const auto json = ParseJsonObject(body.substr(0, body.find('\n')));
  if (!json || !json->contains("result")) {
    return std::nullopt;
  }
  return ReadLease(Member(*json, "result"));
}

std::optional<std::monostate> DecodeLeaseRevoke(std::string_view body) {
  if (!ParseAnswer(body)) {
    return std::nullopt;
  }
  return std::monostate();
}

std::optional<WatchMessage> DecodeWatch(std::string_view line) {
  const auto json = ParseJsonObject(line);
  if (!json || !json->contains("result")) {
    return std::nullopt;
  }
  const Json& result = Member(*json, "result");
  WatchMessage message;
  message.m_reply.m_revision = HeaderRevision(result);
  message.m_reply.m_created = ReadBool(result, "created");
  message.m_canceled = ReadBool(result, "canceled");
  message.m_cancel_reason = ReadString(result, "cancel_reason");
  for (const Json& element : Elements(result, "events")) {
    WatchEvent event;
    event.m_deleted = ReadString(element, "type") == "DELETE";
    event.m_key_value = ReadKeyValue(Member(element, "kv"));
    message.m_reply.m_events.push_back(std::move(event));
  }
  return message;
}

std::string DecodeErrorMessage(std::string_view body) {
  const auto json = ParseJsonObject(body);
  return json ? ReadString(*json, "message") : std::string();
}

}  // namespace comfreyshift
