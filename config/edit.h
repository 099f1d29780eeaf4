#ifndef CONFIG_EDIT_H_
#define CONFIG_EDIT_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/error.h"
#include "config/store_calls.h"
#include "core/core.h"

namespace comfreyshift {

struct EditChange {
  std::string m_key{};
  // The mod revision that the editor has read; 0 for a key never written.
  Revision m_expected = 0;
  // Nothing deletes the key.
  std::optional<std::string> m_value{};
};

// A set of changes that takes effect as a whole or not at all.
struct Edit {
  // A UUID that the editor chose. Sending the same edit again under its id
  // applies it once.
  std::string m_id{};
  std::string m_actor{};
  WallTime m_time{};
  std::string m_description{};
  std::vector<EditChange> m_changes{};
};

// The store takes 128 operations in a transaction; an edit adds the head, the
// audit record and its own outcome to the changes.
inline constexpr size_t kMaxEditChanges = 125;

struct EditApplied {
  Revision m_revision = 0;
  // True when an earlier sending of the same edit had already applied it.
  bool m_earlier = false;
};

// Another write came first. Nothing of the edit was or will be written.
struct EditConflict {
  // The current state of each key that is not at its expected mod revision. A
  // key that was never written has mod revision 0.
  std::vector<KeyValue> m_current{};
};

// Nothing of the edit was or will be written.
struct EditNotApplied {
  // True when the store was unavailable, so that the edit may be sent again
  // unchanged; false when it was refused.
  bool m_unavailable = false;
  std::string m_reason{};
};

// The deadline passed before the outcome was known. Sending the same edit again
// under its id tells it.
struct EditUnknown {
  std::string m_reason{};
};

using EditOutcome =
    std::variant<EditApplied, EditConflict, EditNotApplied, EditUnknown>;

// What a failed store call means for the store's content.
enum class CallEffect { kNotWritten, kMayBeWritten, kUnavailable };

// A store call that an edit needs.
struct EditCall {
  TxnRequest m_txn{};
  bool m_writes = false;
  // True when an earlier call failed, so that the caller should wait before it
  // makes this one.
  bool m_repeated = false;
};

// Carries one edit to its outcome. The caller makes the calls that NextStep
// returns, one at a time, and reports each with OnReply or OnFailure.
//
// A read comes first: it finds an edit that was already applied, conflicts, and
// the values for the audit record. The write compares all mod revisions and
// that the edit's id is unused. After a lost answer the read is made again. An
// absent id does not mean that the write has failed, because it may still be on
// its way: then the same write is sent again, of which the store applies one.
// Until the outcome is known or the deadline passes, failed calls are repeated.
class EditProcess {
 public:
  // Fails with kInvalidEdit, whose message states the fault, for an id that is
  // no UUID, no actor, too many changes, two changes of one key, a key outside
  // the configuration or a value above kMaxValueBytes.
  static Result<EditProcess, ConfigError> Create(Edit edit, MonoTime deadline);

  // Returns the call to make now, or the outcome.
  std::variant<EditCall, EditOutcome> NextStep(MonoTime now);

  void OnReply(const TxnReply& reply);
  void OnFailure(CallEffect effect, const std::string& reason);

 private:
  enum class Phase { kRead, kWrite, kDone };

  EditProcess(Edit edit, MonoTime deadline);

  EditCall ReadCall() const;
  EditCall WriteCall() const;
  std::vector<TxnOperation> ReadOperations() const;
  std::string AuditValueFor(size_t max_value_bytes) const;
  std::string OutcomeValue() const;
  // Takes the replies of ReadOperations.
  void TakeState(const TxnReply& reply);
  void TakeEarlier(const KeyValue& outcome);
  void Finish(EditOutcome outcome);

  Edit m_edit;
  // Digest of the changes, which tells another edit under the same id.
  std::string m_digest;
  MonoTime m_deadline;
  Phase m_phase = Phase::kRead;
  // True once a write may have taken effect or may still be on its way.
  bool m_may_be_written = false;
  bool m_failed_before = false;
  std::string m_last_reason;
  std::vector<std::string> m_before;
  EditOutcome m_outcome;
};

}  // namespace comfreyshift

#endif  // CONFIG_EDIT_H_
