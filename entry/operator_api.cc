#include "entry/operator_api.h"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <utility>

#include "inventory/inventory.h"
#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds kAuditTimeout{5000};

std::string NewEditId() {
  static std::mt19937_64 random{std::random_device()()};
  return SubmissionKey::Make(WallNow(), random(), random()).ToString();
}

// Reads the revision of an `If-Match: "REVISION"` header.
std::optional<Revision> ReadIfMatch(const HttpRequest& request) {
  auto text = request.Header("If-Match");
  if (!text) {
    return std::nullopt;
  }
  std::erase(*text, '"');
  Revision revision = 0;
  std::from_chars(text->data(), text->data() + text->size(), revision);
  return revision;
}

int StatusOf(EditFailure failure) {
  switch (failure) {
    case EditFailure::kConflict:
    case EditFailure::kIdReused:
      return 409;
    case EditFailure::kInvalid:
      return 400;
    case EditFailure::kStoreUnavailable:
    case EditFailure::kNoMajority:
      return 503;
  }
  return 503;
}

std::string_view CodeOf(EditFailure failure) {
  switch (failure) {
    case EditFailure::kConflict:
      return "conflict";
    case EditFailure::kIdReused:
      return "edit_id_reused";
    case EditFailure::kInvalid:
      return "invalid_inventory";
    case EditFailure::kStoreUnavailable:
      return "store_unavailable";
    case EditFailure::kNoMajority:
      return "no_majority";
  }
  return "store_unavailable";
}

bool IsRetired(const Inventory& inventory,
               std::string_view kind,
               std::string_view name) {
  if (kind == "client") {
    const auto found = inventory.m_clients.find(name);
    return found != inventory.m_clients.end() &&
           found->second.m_lifecycle == Lifecycle::kRetired;
  }
  if (kind == "target") {
    const auto found = inventory.m_targets.find(name);
    return found != inventory.m_targets.end() &&
           found->second.m_lifecycle == Lifecycle::kRetired;
  }
  if (kind == "zone") {
    const auto found = inventory.m_zones.find(name);
    return found != inventory.m_zones.end() && !found->second.m_open;
  }
  return false;
}

Json ProblemsOf(const InventoryError& error) {
  Json problems = Json::array();
  for (const InventoryProblem& problem : error.m_problems) {
    problems.push_back({{"section", problem.m_section},
                        {"key", problem.m_key},
                        {"found", problem.m_found},
                        {"accepted", problem.m_accepted}});
  }
  return problems;
}

Json ToJson(const AuditValue& value) {
  if (const auto* text = std::get_if<std::string>(&value)) {
    auto parsed = ParseJson(*text);
    return parsed ? std::move(*parsed) : Json(*text);
  }
  if (const auto* digest = std::get_if<ValueDigest>(&value)) {
    return {{"bytes", digest->m_bytes}, {"sha256", digest->m_sha256}};
  }
  return nullptr;
}

Json ToJson(const AuditRecord& record) {
  Json changes = Json::array();
  for (const AuditChange& change : record.m_changes) {
    changes.push_back({{"key", change.m_key},
                       {"before", ToJson(change.m_before)},
                       {"after", ToJson(change.m_after)}});
  }
  return {{"id", AuditKey(record.m_time, record.m_edit_id)},
          {"time_ms", record.m_time.time_since_epoch().count()},
          {"operator", record.m_actor},
          {"edit_id", record.m_edit_id},
          {"action", record.m_description},
          {"revision", record.m_revision},
          {"changes", std::move(changes)}};
}

std::string_view StateName(ProofState state) {
  switch (state) {
    case ProofState::kFresh:
      return "fresh";
    case ProofState::kFrozen:
      return "frozen";
    case ProofState::kCutOff:
      return "cut_off";
  }
  return "cut_off";
}

// Returns the targets, clients and rules that the changes touch. A zone touches
// all of its targets.
Json AffectedBy(const std::vector<InventoryChange>& changes,
                const Inventory& inventory) {
  std::map<std::string, std::set<std::string>> names;
  for (const InventoryChange& change : changes) {
    const std::string path = change.m_key.substr(kInventoryPrefix.size());
    const std::string kind = path.substr(0, path.find('/'));
    const std::string name = path.substr(path.find('/') + 1);
    names[kind].insert(name);
    for (const auto& [target_name, target] : inventory.m_targets) {
      if (kind == "zone" && target.m_zone == name) {
        names["target"].insert(target_name);
      }
    }
  }
  return {{"targets", names["target"]},
          {"clients", names["client"]},
          {"rules", names["rule"]}};
}

void ReplyDone(HttpRequest& request,
               const std::string& edit_id,
               bool dry_run,
               const EditDone& done,
               const Inventory& inventory) {
  request.ReplyJson(200,
                    {{"edit_id", edit_id},
                     {"revision", done.m_revision},
                     {"repeated", done.m_repeated},
                     {"dry_run", dry_run},
                     {"affected", AffectedBy(done.m_changes, inventory)},
                     {"changes", Json::parse(DiffToJson(done.m_changes))}},
                    {{"Edit-Id", edit_id}});
}

// The answer to a conflict shows the records as others have written them.
void ReplyError(HttpRequest& request,
                const std::string& edit_id,
                const EditError& error) {
  Json current = Json::object();
  for (const KeyValue& item : error.m_current) {
    current[item.m_key] = IsTombstone(item.m_value)
                              ? Json()
                              : ParseJson(item.m_value).value_or(item.m_value);
  }
  request.ReplyJson(
      StatusOf(error.m_failure),
      {{"error",
        {{"code", CodeOf(error.m_failure)}, {"message", error.m_detail}}},
       {"detail", error.m_detail},
       {"may_have_applied", error.m_may_have_applied},
       {"current", std::move(current)},
       {"edit_id", edit_id}},
      {{"Edit-Id", edit_id}});
}

}  // namespace

OperatorApi::OperatorApi(std::string operator_token,
                         Milliseconds lease,
                         EntryProcess& entry)
    : m_operator_token(std::move(operator_token)),
      m_lease(lease),
      m_entry(entry),
      m_editor(std::make_shared<InventoryEditor>(entry)) {}

HttpHandler OperatorApi::WithCurrentState(bool needs_store,
                                          HttpHandler handler) {
  return [this, needs_store,
          handler = std::move(handler)](const RequestPtr& request) {
    m_entry.sync().Refresh([request, needs_store, handler](bool refreshed) {
      if (needs_store && !refreshed) {
        request->ReplyError(503, "store_unavailable",
                            "the store does not answer; nothing was changed");
        return;
      }
      handler(request);
    });
  };
}

void OperatorApi::AddRoutes(HttpServer& server) {
  const OperatorAccess access{m_operator_token};
  const auto edit = [&](std::string_view method, std::string_view path,
                        HttpHandler handler) {
    server.AddRoute(method, path, access,
                    WithCurrentState(true, std::move(handler)));
  };
  server.AddRoute("GET", "/v1/inventory", access,
                  WithCurrentState(false, [this](const RequestPtr& request) {
                    GetInventory(request);
                  }));
  edit("PUT", "/v1/inventory",
       [this](const RequestPtr& request) { PutInventory(request); });
  edit("POST", "/v1/zones/{}/close",
       [this](const RequestPtr& request) { SetZone(request, false); });
  edit("POST", "/v1/zones/{}/open",
       [this](const RequestPtr& request) { SetZone(request, true); });
  edit("POST", "/v1/clients/{}/retire",
       [this](const RequestPtr& request) { RetireClient(request); });
  edit("POST", "/v1/targets/{}/retire",
       [this](const RequestPtr& request) { RetireTarget(request); });
  server.AddRoute(
      "GET", "/v1/retirements/{}/{}", access,
      [this](const RequestPtr& request) { GetRetirement(request); });
  server.AddRoute("GET", "/v1/status", access,
                  [this](const RequestPtr& request) { GetStatus(request); });
  server.AddRoute("GET", "/v1/audit", access,
                  [this](const RequestPtr& request) { GetAudit(request); });
}

void OperatorApi::GetInventory(const RequestPtr& request) {
  const Revision revision = m_entry.node().applied_revision();
  const Json body = {
      {"revision", revision},
      {"inventory",
       Json::parse(InventoryToJson(*m_entry.node().view().inventory()))}};
  request->ReplyJson(200, body,
                     {{"ETag", "\"" + std::to_string(revision) + "\""}});
}

void OperatorApi::PutInventory(const RequestPtr& request) {
  auto inventory = InventoryFromJson("request body", request->body());
  if (!inventory) {
    request->ReplyJson(400, {{"error",
                              {{"code", "invalid_inventory"},
                               {"message", inventory.error().ToString()}}},
                             {"problems", ProblemsOf(inventory.error())}});
    return;
  }
  Edit(request, "inventory_apply", std::move(inventory.value()));
}

void OperatorApi::SetZone(const RequestPtr& request, bool open) {
  Inventory changed = *m_entry.node().view().inventory();
  const auto zone = changed.m_zones.find(request->arguments().front());
  if (zone == changed.m_zones.end()) {
    request->ReplyError(404, "not_found", "no availability zone of that name");
    return;
  }
  zone->second.m_open = open;
  Edit(request, open ? "zone_open" : "zone_close", std::move(changed));
}

void OperatorApi::RetireClient(const RequestPtr& request) {
  Inventory changed = *m_entry.node().view().inventory();
  const auto client = changed.m_clients.find(request->arguments().front());
  if (client == changed.m_clients.end()) {
    request->ReplyError(404, "not_found", "no client of that name");
    return;
  }
  client->second.m_lifecycle = Lifecycle::kRetired;
  Edit(request, "client_retire", std::move(changed));
}

void OperatorApi::RetireTarget(const RequestPtr& request) {
  Inventory changed = *m_entry.node().view().inventory();
  const auto target = changed.m_targets.find(request->arguments().front());
  if (target == changed.m_targets.end()) {
    request->ReplyError(404, "not_found", "no target of that name");
    return;
  }
  target->second.m_lifecycle = Lifecycle::kRetired;
  Edit(request, "target_retire", std::move(changed));
}

void OperatorApi::Edit(const RequestPtr& request,
                       std::string_view action,
                       Inventory changed) {
  const std::string edit_id = request->Header("Edit-Id").value_or(NewEditId());
  const auto parsed = SubmissionKey::Parse(edit_id);
  if (!parsed) {
    request->ReplyError(400, "malformed_request", "Edit-Id must be a UUID");
    return;
  }
  EditRequest edit;
  edit.m_edit_id = *parsed;
  edit.m_operator = "operator";
  edit.m_action = action;
  edit.m_inventory = std::move(changed);
  edit.m_if_match = ReadIfMatch(*request);
  edit.m_dry_run = request->Query("dry_run") == "true";
  edit.m_force = request->Query("force") == "true";
  const bool dry_run = edit.m_dry_run;
  m_editor->Apply(std::move(edit), [this, request, edit_id, dry_run](
                                       Result<EditDone, EditError> result) {
    if (result) {
      ReplyDone(*request, edit_id, dry_run, result.value(),
                *m_entry.node().view().inventory());
    } else {
      ReplyError(*request, edit_id, result.error());
    }
  });
}

void OperatorApi::GetRetirement(const RequestPtr& request) {
  const std::string& kind = request->arguments()[0];
  const std::string& name = request->arguments()[1];
  if (!IsRetired(*m_entry.node().view().inventory(), kind, name)) {
    request->ReplyError(404, "not_found", "nothing of that name was retired");
    return;
  }
  const Revision revision = m_entry.node().ModRevision(
      std::string(kInventoryPrefix) + kind + "/" + name);
  RetirementQuery::Start(m_entry, kind, name, revision, m_lease,
                         [this, request](const RetirementProof& proof) {
                           if (proof.m_state == RetirementState::kDone) {
                             RecordProof(proof);
                           }
                           request->ReplyJson(200, ToJson(proof));
                         });
}

void OperatorApi::RecordProof(const RetirementProof& proof) {
  // The id follows from what is proved, so that the summary is written once.
  const std::string subject = proof.m_kind + "/" + proof.m_name + "/" +
                              std::to_string(proof.m_revision);
  const MacTag digest = ComputeMac(
      "retirement proof",
      {reinterpret_cast<const uint8_t*>(subject.data()), subject.size()});
  AuditRecord record;
  record.m_edit_id = SubmissionKey(digest).ToString();
  record.m_actor = m_entry.node().self().m_id.m_name;
  record.m_time = WallNow();
  record.m_description = "retirement_proof " + subject;
  record.m_changes.push_back(
      {std::string(kInventoryPrefix) + proof.m_kind + "/" + proof.m_name,
       std::monostate(), DumpJson(ToJson(proof))});
  const std::string once = std::string(kEditPrefix) + record.m_edit_id;
  TxnRequest txn;
  txn.m_compares.push_back(
      {once, CompareResult::kEqual, CompareModRevision{0}});
  txn.m_success.push_back(PutRequest{once, R"({"proof":true})"});
  txn.m_success.push_back(PutRequest{AuditKey(record.m_time, record.m_edit_id),
                                     EncodeAuditRecord(record)});
  m_entry.store().Txn(txn, {BootClock::now() + kAuditTimeout},
                      [](const Result<TxnReply, StoreError>&) {});
}

void OperatorApi::GetStatus(const RequestPtr& request) {
  const MonoTime now = BootClock::now();
  ProcessNode& node = m_entry.node();
  const auto live = node.membership().LiveMembers();
  Json members = Json::array();
  for (const Member& member : node.view().table()->m_members) {
    const bool alive =
        member.m_id == node.self().m_id ||
        std::find(live.begin(), live.end(), member.m_id) != live.end();
    members.push_back(
        {{"name", member.m_id.m_name},
         {"role", member.m_role == MemberRole::kEntry ? "entry" : "agent"},
         {"zone", member.m_zone},
         {"incarnation", member.m_id.m_incarnation},
         {"state", alive ? "alive" : "dead"}});
  }
  Json zones = Json::array();
  for (const auto& [name, zone] : node.view().inventory()->m_zones) {
    zones.push_back({{"name", name}, {"open", zone.m_open}});
  }
  request->ReplyJson(200,
                     {{"process", node.self().m_id.m_name},
                      {"role", "entry"},
                      {"zone", node.self().m_zone},
                      {"ready", m_entry.ready(now)},
                      {"revision", node.applied_revision()},
                      {"freshness", StateName(node.membership().proof_state())},
                      {"store", m_entry.sync().InContact(now) ? "up" : "down"},
                      {"zones", std::move(zones)},
                      {"members", std::move(members)}});
}

void OperatorApi::GetAudit(const RequestPtr& request) {
  constexpr uint64_t kDefaultLimit = 100;
  constexpr uint64_t kMaxLimit = 1000;
  uint64_t limit = kDefaultLimit;
  if (const auto text = request->Query("limit")) {
    std::from_chars(text->data(), text->data() + text->size(), limit);
  }
  AuditQuery query;
  query.m_limit = std::clamp<uint64_t>(limit, 1, kMaxLimit);
  ReadAudit(m_entry.store(), query, {BootClock::now() + kAuditTimeout},
            [request](Result<AuditPage, StoreError> result) {
              if (!result) {
                request->ReplyError(503, "store_unavailable",
                                    result.error().m_message);
                return;
              }
              Json records = Json::array();
              for (const AuditRecord& record : result.value().m_records) {
                records.push_back(ToJson(record));
              }
              request->ReplyJson(200, {{"records", std::move(records)}});
            });
}

}  // namespace comfreyshift
