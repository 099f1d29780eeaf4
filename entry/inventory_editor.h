#ifndef ENTRY_INVENTORY_EDITOR_H_
#define ENTRY_INVENTORY_EDITOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "entry/entry_process.h"
#include "inventory/inventory.h"

namespace comfreyshift {

// One edit of the inventory, as an operator asks for it.
struct EditRequest {
  SubmissionKey m_edit_id;
  std::string m_operator;
  std::string m_action;
  // The inventory as it shall be, made from the one that this process applies.
  Inventory m_inventory;
  // The revision that the operator has seen; the edit conflicts when the
  // inventory has changed since.
  std::optional<Revision> m_if_match;
  bool m_dry_run = false;
  // Lets the edit pass without a majority of the witnesses.
  bool m_force = false;
};

enum class EditFailure : uint8_t {
  kConflict,
  kIdReused,
  kInvalid,
  kStoreUnavailable,
  kNoMajority,
};

struct EditError {
  EditFailure m_failure = EditFailure::kStoreUnavailable;
  std::string m_detail;
  // True when the edit may have taken effect all the same.
  bool m_may_have_applied = false;
  // In a conflict: the keys that others have written, as they are now.
  std::vector<KeyValue> m_current;
};

struct EditDone {
  Revision m_revision = 0;
  bool m_repeated = false;
  std::vector<InventoryChange> m_changes;
};

// Writes edits of the inventory to the store, each as one transaction with its
// audit record. An edit of more than kMaxEditChanges records takes several
// transactions, in the order of their keys; when one of them fails, the earlier
// ones stay in force and the error says so.
class InventoryEditor : public std::enable_shared_from_this<InventoryEditor> {
 public:
  using DoneFunction = std::function<void(Result<EditDone, EditError>)>;

  // `entry` must outlive the editor and all its calls.
  explicit InventoryEditor(EntryProcess& entry);

  void Apply(EditRequest request, DoneFunction done);

 private:
  struct Pending;

  // Tells whether an edit whose revision has passed was applied earlier, or
  // conflicts.
  void FindEarlier(const EditRequest& request, DoneFunction done);

  // Writes the next batch of an edit that is larger than one transaction.
  void WriteBatch(const std::shared_ptr<Pending>& pending);
  void OnBatch(const std::shared_ptr<Pending>& pending, EditOutcome outcome);

  EntryProcess& m_entry;
};

}  // namespace comfreyshift

#endif  // ENTRY_INVENTORY_EDITOR_H_
