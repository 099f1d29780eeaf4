#include "entry/inventory_editor.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds kEditTimeout{5000};

std::string AuditKey(WallTime now, const SubmissionKey& edit_id) {
  std::string ms = std::to_string(now.time_since_epoch().count());
  ms.insert(0, ms.size() < 16 ? 16 - ms.size() : 0, '0');
  return "/comfreyshift/audit/" + ms + "-" + edit_id.ToString();
}

std::string AuditRecord(const EditRequest& request,
                        const std::vector<InventoryChange>& changes,
                        WallTime now) {
  const Json record = {{"time_ms", now.time_since_epoch().count()},
                       {"operator", request.m_operator},
                       {"edit_id", request.m_edit_id.ToString()},
                       {"action", request.m_action},
                       {"changes", Json::parse(DiffToJson(changes))}};
  return record.dump();
}

}  // namespace

InventoryEditor::InventoryEditor(EntryProcess& entry) : m_entry(entry) {}

void InventoryEditor::Apply(EditRequest request, DoneFunction done) {
  const MonoTime now = BootClock::now();
  ProcessNode& node = m_entry.node();
  std::vector<InventoryChange> changes =
      Diff(*node.view().inventory(), request.m_inventory);
  if (request.m_if_match && *request.m_if_match != node.applied_revision()) {
    done(EditError{EditFailure::kConflict,
                   "the configuration has changed since that revision", false});
    return;
  }
  if (request.m_dry_run || changes.empty()) {
    done(EditDone{node.applied_revision(), false, std::move(changes)});
    return;
  }
  if (!m_entry.sync().InContact(now)) {
    done(EditError{EditFailure::kStoreUnavailable,
                   "the store has not answered for some seconds", false});
    return;
  }
  if (!request.m_force && !m_entry.SeesMajority(now)) {
    done(EditError{EditFailure::kNoMajority,
                   "fewer than half of the witnesses were heard", false});
    return;
  }
  Write(request, std::move(changes), std::move(done));
}

void InventoryEditor::Write(const EditRequest& request,
                            std::vector<InventoryChange> changes,
                            DoneFunction done) {
  const WallTime wall_now = WallNow();
  TxnRequest txn;
  for (const InventoryChange& change : changes) {
    txn.m_compares.push_back(
        {change.m_key, CompareResult::kEqual,
         CompareModRevision{m_entry.node().ModRevision(change.m_key)}});
    txn.m_success.push_back(
        PutRequest{change.m_key, change.m_after.value_or("")});
  }
  txn.m_success.push_back(
      PutRequest{std::string(kHeadKey), request.m_edit_id.ToString()});
  txn.m_success.push_back(PutRequest{AuditKey(wall_now, request.m_edit_id),
                                     AuditRecord(request, changes, wall_now)});
  m_entry.store().Txn(
      txn, {BootClock::now() + kEditTimeout},
      [self = shared_from_this(), changes = std::move(changes),
       done = std::move(done)](Result<TxnReply, StoreError> result) mutable {
        self->m_entry.sync().ReadNow();
        if (!result) {
          done(EditError{
              EditFailure::kStoreUnavailable, result.error().m_message,
              result.error().m_effect == StoreEffect::kMayBeWritten});
          return;
        }
        if (!result.value().m_succeeded) {
          done(EditError{EditFailure::kConflict,
                         "another edit was faster; read again", false});
          return;
        }
        done(EditDone{result.value().m_revision, false, std::move(changes)});
      });
}

}  // namespace comfreyshift
