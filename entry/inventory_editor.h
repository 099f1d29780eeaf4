#ifndef ENTRY_INVENTORY_EDITOR_H_
#define ENTRY_INVENTORY_EDITOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
  kStoreUnavailable,
  kNoMajority,
};

struct EditError {
  EditFailure m_failure = EditFailure::kStoreUnavailable;
  std::string m_detail;
  // True when the edit may have taken effect all the same.
  bool m_may_have_applied = false;
};

struct EditDone {
  Revision m_revision = 0;
  bool m_repeated = false;
  std::vector<InventoryChange> m_changes;
};

// Writes edits of the inventory to the store, each as one transaction with its
// audit record.
class InventoryEditor : public std::enable_shared_from_this<InventoryEditor> {
 public:
  using DoneFunction = std::function<void(Result<EditDone, EditError>)>;

  // `entry` must outlive the editor and all its calls.
  explicit InventoryEditor(EntryProcess& entry);

  void Apply(EditRequest request, DoneFunction done);

 private:
  void Write(const EditRequest& request,
             std::vector<InventoryChange> changes,
             DoneFunction done);

  EntryProcess& m_entry;
};

}  // namespace comfreyshift

#endif  // ENTRY_INVENTORY_EDITOR_H_
