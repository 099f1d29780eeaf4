#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

#include "config/config.h"
#include "tests/config/fake_store.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

constexpr MonoTime kStart = MonoTime(1h);
constexpr MonoTime kDeadline = kStart + 10s;
constexpr int kKeys = 3;
// One of so many edits changes no key.
constexpr int kEditForms = 5;

std::string Key(int number) {
  return "/comfreyshift/inventory/zone/" + std::to_string(number);
}

// What becomes of one store call.
enum class Fate {
  kAnswered,
  kAnswerLost,
  kLost,
  // The caller gives up and the call takes effect at a later kDeliver.
  kDelayed,
  kUnavailable,
  kRefused,
};

enum class Kind { kCall, kNewEdit, kResend, kDeliver, kDeadline };

struct Move {
  Kind m_kind;
  int m_index;
  Fate m_fate;
};

void showValue(const Move& move, std::ostream& os) {
  os << "(kind " << static_cast<int>(move.m_kind) << ", index " << move.m_index
     << ", fate " << static_cast<int>(move.m_fate) << ")";
}

struct Sender {
  size_t m_edit = 0;
  EditProcess m_process;
  std::optional<EditOutcome> m_outcome;
};

// Concurrent senders of edits over one store, with a chosen fate for each call.
class EditModel {
 public:
  void Apply(const Move& move) {
    switch (move.m_kind) {
      case Kind::kNewEdit:
        return AddEdit(move.m_index);
      case Kind::kResend:
        return Resend(move.m_index);
      case Kind::kDeliver:
        return Deliver();
      case Kind::kDeadline:
        return Step(move.m_index, Fate::kAnswered, kDeadline);
      default:
        return Step(move.m_index, move.m_fate, kStart);
    }
  }

  // Ends the outage: everything on its way arrives and all senders end.
  void Settle(bool deliver_first) {
    while (deliver_first && !m_delayed.empty()) {
      Deliver();
    }
    for (size_t i = 0; i < m_senders.size(); ++i) {
      while (!m_senders[i].m_outcome) {
        Step(static_cast<int>(i), Fate::kAnswered, kStart);
      }
    }
    while (!m_delayed.empty()) {
      Deliver();
    }
  }

  void CheckAll() const {
    for (size_t i = 0; i < m_edits.size(); ++i) {
      CheckWrittenOnceOrNever(i);
    }
    for (const Sender& sender : m_senders) {
      CheckOutcome(sender);
    }
    CheckNothingReverted();
  }

 private:
  // Changes up to two keys, by what the store holds now. Without any, only the
  // edit's id keeps it from being written twice.
  void AddEdit(int index) {
    auto number = static_cast<uint64_t>(m_edits.size());
    Edit edit{.m_id = SubmissionKey::Make(WallTime(1s), 0, number).ToString(),
              .m_actor = "operator",
              .m_time = WallTime(Milliseconds(number))};
    for (int key : {index % kKeys, index / kKeys % kKeys}) {
      if (index % kEditForms == 0) {
        break;
      }
      if (edit.m_changes.empty() || edit.m_changes[0].m_key != Key(key)) {
        auto found = m_store.keys().find(Key(key));
        edit.m_changes.push_back(
            {Key(key),
             found == m_store.keys().end() ? 0 : found->second.m_mod_revision,
             "edit " + std::to_string(number)});
      }
    }
    m_edits.push_back(edit);
    m_sendings.push_back(0);
    Send(m_edits.size() - 1);
  }

  void Resend(int index) {
    if (!m_edits.empty()) {
      Send(static_cast<size_t>(index) % m_edits.size());
    }
  }

  void Send(size_t edit) {
    ++m_sendings[edit];
    m_senders.push_back(
        {edit, EditProcess::Create(m_edits[edit], kDeadline).assume_value(),
         std::nullopt});
  }

  void Deliver() {
    if (!m_delayed.empty()) {
      m_store.Txn(m_delayed.front());
      m_delayed.pop_front();
    }
  }

  void Step(int index, Fate fate, MonoTime now) {
    if (m_senders.empty()) {
      return;
    }
    Sender& sender = m_senders[static_cast<size_t>(index) % m_senders.size()];
    if (sender.m_outcome) {
      return;
    }
    auto step = sender.m_process.NextStep(now);
    if (auto* outcome = std::get_if<EditOutcome>(&step)) {
      sender.m_outcome = *outcome;
      return;
    }
    Call(sender.m_process, std::get<EditCall>(step), fate);
  }

  void Call(EditProcess& process, const EditCall& call, Fate fate) {
    CallEffect lost =
        call.m_writes ? CallEffect::kMayBeWritten : CallEffect::kUnavailable;
    switch (fate) {
      case Fate::kAnswered:
        return process.OnReply(m_store.Txn(call.m_txn));
      case Fate::kAnswerLost:
        m_store.Txn(call.m_txn);
        return process.OnFailure(lost, "answer lost");
      case Fate::kDelayed:
        m_delayed.push_back(call.m_txn);
        return process.OnFailure(lost, "delayed");
      case Fate::kUnavailable:
        return process.OnFailure(CallEffect::kUnavailable, "unavailable");
      case Fate::kRefused:
        return process.OnFailure(CallEffect::kNotWritten, "refused");
      default:
        return process.OnFailure(lost, "lost");
    }
  }

  const KeyValue* OutcomeOf(size_t edit) const {
    auto found =
        m_store.keys().find(std::string(kEditPrefix) + m_edits[edit].m_id);
    return found == m_store.keys().end() ? nullptr : &found->second;
  }

  void CheckWrittenOnceOrNever(size_t edit) const {
    std::string value = "edit " + std::to_string(edit);
    size_t writes = 0;
    for (const KeyValue& kv : m_store.history()) {
      writes += IsConfigKey(kv.m_key) && kv.m_value == value ? 1 : 0;
    }
    const KeyValue* outcome = OutcomeOf(edit);
    bool applied = outcome != nullptr;
    RC_ASSERT((applied ? outcome->m_version : 1) == 1u);
    RC_ASSERT(writes == (applied ? m_edits[edit].m_changes.size() : 0));
    std::string audit = AuditKey(m_edits[edit].m_time, m_edits[edit].m_id);
    RC_ASSERT(m_store.keys().contains(audit) == applied);
  }

  void CheckOutcome(const Sender& sender) const {
    const KeyValue* written = OutcomeOf(sender.m_edit);
    bool has_written = written != nullptr;
    if (const auto* applied = std::get_if<EditApplied>(&*sender.m_outcome)) {
      RC_ASSERT(has_written);
      RC_ASSERT(written->m_mod_revision == applied->m_revision);
    }
    if (std::holds_alternative<EditConflict>(*sender.m_outcome)) {
      RC_ASSERT(!has_written);
    }
    // Another sending of the same edit may have applied it.
    if (std::holds_alternative<EditNotApplied>(*sender.m_outcome) &&
        m_sendings[sender.m_edit] == 1) {
      RC_ASSERT(!has_written);
    }
  }

  // Each value follows the one that its edit has read, and its audit record
  // shows that one.
  void CheckNothingReverted() const {
    std::map<std::string, KeyValue> current;
    for (const KeyValue& kv : m_store.history()) {
      if (!IsConfigKey(kv.m_key)) {
        continue;
      }
      size_t number = std::stoul(kv.m_value.substr(5));
      const Edit& edit = m_edits[number];
      AuditRecord record =
          DecodeAuditRecord(m_store.keys().at(AuditKey(edit.m_time, edit.m_id)))
              .assume_value();
      for (size_t i = 0; i < edit.m_changes.size(); ++i) {
        if (edit.m_changes[i].m_key == kv.m_key) {
          RC_ASSERT(edit.m_changes[i].m_expected ==
                    current[kv.m_key].m_mod_revision);
          RC_ASSERT(record.m_changes[i].m_before ==
                    (current[kv.m_key].m_version == 0
                         ? AuditValue()
                         : AuditValue(current[kv.m_key].m_value)));
        }
      }
      current[kv.m_key] = kv;
    }
  }

  FakeStore m_store;
  std::vector<Edit> m_edits;
  std::vector<int> m_sendings;
  std::vector<Sender> m_senders;
  std::deque<TxnRequest> m_delayed;
};

rc::Gen<Move> MoveGen() {
  // Enough answered calls that most senders get as far as the write.
  auto kind = rc::gen::weightedElement<Kind>({{20, Kind::kCall},
                                              {3, Kind::kNewEdit},
                                              {1, Kind::kResend},
                                              {2, Kind::kDeliver},
                                              {1, Kind::kDeadline}});
  auto fate = rc::gen::weightedElement<Fate>({{6, Fate::kAnswered},
                                              {2, Fate::kAnswerLost},
                                              {1, Fate::kLost},
                                              {3, Fate::kDelayed},
                                              {2, Fate::kUnavailable},
                                              {1, Fate::kRefused}});
  return rc::gen::construct<Move>(kind, rc::gen::inRange(0, 600), fate);
}

// Guards against an edit that is lost, applied twice, reverted by a stale one,
// or reported with an outcome that the store does not bear out.
TEST(EditModelTest, ConcurrentEditsOverLossyStoreApplyOnceOrNever) {
  EXPECT_TRUE(rc::check("edits apply once or never", [] {
    // The size makes sequences of up to 150 moves.
    auto moves =
        *rc::gen::resize(150, rc::gen::container<std::vector<Move>>(MoveGen()));
    EditModel model;
    for (const Move& move : moves) {
      model.Apply(move);
    }
    model.Settle(*rc::gen::arbitrary<bool>());
    model.CheckAll();
  }));
}

}  // namespace
}  // namespace comfreyshift
