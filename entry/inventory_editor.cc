#include "entry/inventory_editor.h"

#include <algorithm>
#include <utility>

#include "store/store.h"

namespace comfreyshift {

namespace {

constexpr Milliseconds kEditTimeout{5000};

// Returns the id of one batch of an edit: the edit's own for the first one, and
// fixed others after it, so that a repeated edit repeats its batches.
std::string BatchId(const SubmissionKey& edit_id, size_t batch) {
  std::array<uint8_t, 16> bytes = edit_id.bytes();
  bytes[14] ^= static_cast<uint8_t>(batch >> 8);
  bytes[15] ^= static_cast<uint8_t>(batch);
  return SubmissionKey(bytes).ToString();
}

EditError ToError(const EditConflict& conflict) {
  return {EditFailure::kConflict, "another edit was faster", false,
          conflict.m_current};
}

EditError ToError(const EditNotApplied& not_applied) {
  return {not_applied.m_unavailable ? EditFailure::kStoreUnavailable
                                    : EditFailure::kIdReused,
          not_applied.m_reason,
          false,
          {}};
}

EditError ToError(const EditUnknown& unknown) {
  return {EditFailure::kStoreUnavailable, unknown.m_reason, true, {}};
}

EditError ToError(const EditApplied& /*applied*/) {
  return {};
}

}  // namespace

struct InventoryEditor::Pending {
  EditRequest m_request;
  DoneFunction m_done;
  EditDone m_result;
  MonoTime m_deadline;
  size_t m_written = 0;
};

InventoryEditor::InventoryEditor(EntryProcess& entry) : m_entry(entry) {}

void InventoryEditor::Apply(EditRequest request, DoneFunction done) {
  const MonoTime now = BootClock::now();
  ProcessNode& node = m_entry.node();
  std::vector<InventoryChange> changes =
      Diff(*node.view().inventory(), request.m_inventory);
  if (request.m_dry_run || changes.empty()) {
    done(EditDone{node.applied_revision(), false, std::move(changes)});
    return;
  }
  if (request.m_if_match && *request.m_if_match != node.applied_revision()) {
    FindEarlier(request, std::move(done));
    return;
  }
  if (!request.m_force && !m_entry.SeesMajority(now)) {
    done(EditError{EditFailure::kNoMajority,
                   "fewer than half of the witnesses were heard",
                   false,
                   {}});
    return;
  }
  auto pending = std::make_shared<Pending>();
  pending->m_request = std::move(request);
  pending->m_done = std::move(done);
  pending->m_result.m_changes = std::move(changes);
  pending->m_deadline = now + kEditTimeout;
  WriteBatch(pending);
}

void InventoryEditor::FindEarlier(const EditRequest& request,
                                  DoneFunction done) {
  RangeRequest range;
  range.m_key = std::string(kEditPrefix) + request.m_edit_id.ToString();
  m_entry.store().Range(
      range, {BootClock::now() + kEditTimeout},
      [done = std::move(done)](const Result<RangeReply, StoreError>& result) {
        if (!result) {
          done(EditError{EditFailure::kStoreUnavailable,
                         result.error().m_message,
                         true,
                         {}});
        } else if (result.value().m_key_values.empty()) {
          done(EditError{EditFailure::kConflict,
                         "the configuration has changed since that revision",
                         false,
                         {}});
        } else {
          done(EditDone{
              result.value().m_key_values.front().m_mod_revision, true, {}});
        }
      });
}

void InventoryEditor::WriteBatch(const std::shared_ptr<Pending>& pending) {
  const std::vector<InventoryChange>& changes = pending->m_result.m_changes;
  const size_t first = pending->m_written;
  const size_t last = std::min(first + kMaxEditChanges, changes.size());
  Edit edit;
  edit.m_id = BatchId(pending->m_request.m_edit_id, first / kMaxEditChanges);
  edit.m_actor = pending->m_request.m_operator;
  edit.m_time = WallNow();
  edit.m_description = pending->m_request.m_action;
  for (size_t i = first; i < last; ++i) {
    edit.m_changes.push_back({changes[i].m_key,
                              m_entry.node().ModRevision(changes[i].m_key),
                              changes[i].m_after});
  }
  const WriteCheck check =
      [this,
       force = pending->m_request.m_force]() -> std::optional<std::string> {
    if (force || m_entry.SeesMajority(BootClock::now())) {
      return std::nullopt;
    }
    return "fewer than half of the witnesses were heard";
  };
  pending->m_written = last;
  const auto started =
      RunEdit(m_entry.shared_store(), std::move(edit), pending->m_deadline,
              check, [self = shared_from_this(), pending](EditOutcome outcome) {
                self->OnBatch(pending, std::move(outcome));
              });
  if (!started) {
    pending->m_done(
        EditError{EditFailure::kInvalid, started.error().m_message, false, {}});
  }
}

void InventoryEditor::OnBatch(const std::shared_ptr<Pending>& pending,
                              EditOutcome outcome) {
  m_entry.sync().ReadNow();
  const auto* applied = std::get_if<EditApplied>(&outcome);
  if (applied == nullptr) {
    EditError error =
        std::visit([](const auto& value) { return ToError(value); }, outcome);
    if (pending->m_written > kMaxEditChanges) {
      error.m_detail += "; an earlier part of this edit is in force";
    }
    pending->m_done(std::move(error));
    return;
  }
  pending->m_result.m_revision = applied->m_revision;
  pending->m_result.m_repeated = applied->m_earlier;
  if (pending->m_written < pending->m_result.m_changes.size()) {
    WriteBatch(pending);
    return;
  }
  pending->m_done(std::move(pending->m_result));
}

}  // namespace comfreyshift
