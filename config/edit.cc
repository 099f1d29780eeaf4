#include "config/edit.h"

#include <nlohmann/json.hpp>
#include <set>

#include "config/audit.h"
#include "config/keys.h"
#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

ConfigError Invalid(std::string message) {
  return {ConfigErrorCode::kInvalidEdit, std::move(message)};
}

Result<void, ConfigError> CheckChange(const EditChange& change) {
  if (!IsConfigKey(change.m_key)) {
    return Invalid("key " + change.m_key + " is not part of the configuration");
  }
  if (change.m_value && change.m_value->size() > kMaxValueBytes) {
    return Invalid("the value of " + change.m_key + " has " +
                   std::to_string(change.m_value->size()) +
                   " bytes; the store takes " + std::to_string(kMaxValueBytes));
  }
  return outcome::success();
}

Result<void, ConfigError> CheckEdit(const Edit& edit) {
  if (!SubmissionKey::Parse(edit.m_id)) {
    return Invalid("edit id \"" + edit.m_id + "\" is not a UUID");
  }
  if (edit.m_actor.empty()) {
    return Invalid("edit " + edit.m_id + " names no actor");
  }
  if (edit.m_changes.size() > kMaxEditChanges) {
    return Invalid(
        "edit " + edit.m_id + " has " + std::to_string(edit.m_changes.size()) +
        " changes; one transaction takes " + std::to_string(kMaxEditChanges));
  }
  std::set<std::string_view> keys;
  for (const EditChange& change : edit.m_changes) {
    BOOST_OUTCOME_TRYV(CheckChange(change));
    if (!keys.insert(change.m_key).second) {
      return Invalid("edit " + edit.m_id + " changes " + change.m_key +
                     " twice");
    }
  }
  return outcome::success();
}

std::string NewValue(const EditChange& change) {
  return change.m_value.value_or(std::string(kTombstone));
}

// The expected revisions are left out: an editor may send the same changes
// again with newer ones.
std::string DigestOf(const Edit& edit) {
  std::string all;
  for (const EditChange& change : edit.m_changes) {
    std::string value = NewValue(change);
    all += std::to_string(change.m_key.size()) + ':' + change.m_key;
    all += std::to_string(value.size()) + ':' + value;
  }
  return std::get<ValueDigest>(MakeAuditValue(all + '.', 0)).m_sha256;
}

std::string OutcomeKey(const Edit& edit) {
  return std::string(kEditPrefix) + edit.m_id;
}

const KeyValue* FirstOf(const TxnOperationReply& reply) {
  const auto* range = std::get_if<RangeReply>(&reply);
  if (range == nullptr || range->m_key_values.empty()) {
    return nullptr;
  }
  return &range->m_key_values[0];
}

}  // namespace

Result<EditProcess, ConfigError> EditProcess::Create(Edit edit,
                                                     MonoTime deadline) {
  BOOST_OUTCOME_TRYV(CheckEdit(edit));
  return EditProcess(std::move(edit), deadline);
}

EditProcess::EditProcess(Edit edit, MonoTime deadline)
    : m_edit(std::move(edit)),
      m_digest(DigestOf(m_edit)),
      m_deadline(deadline) {}

std::variant<EditCall, EditOutcome> EditProcess::NextStep(MonoTime now) {
  if (m_phase != Phase::kDone && now >= m_deadline) {
    std::string reason = "no outcome before the deadline: " + m_last_reason;
    if (m_may_be_written) {
      Finish(EditUnknown{reason});
    } else {
      Finish(EditNotApplied{true, reason});
    }
  }
  if (m_phase == Phase::kDone) {
    return m_outcome;
  }
  return m_phase == Phase::kRead ? ReadCall() : WriteCall();
}

std::vector<TxnOperation> EditProcess::ReadOperations() const {
  std::vector<TxnOperation> operations;
  operations.emplace_back(RangeRequest{.m_key = OutcomeKey(m_edit)});
  for (const EditChange& change : m_edit.m_changes) {
    operations.emplace_back(RangeRequest{.m_key = change.m_key});
  }
  return operations;
}

EditCall EditProcess::ReadCall() const {
  EditCall call;
  call.m_txn.m_success = ReadOperations();
  call.m_repeated = m_failed_before;
  return call;
}

EditCall EditProcess::WriteCall() const {
  EditCall call;
  call.m_writes = true;
  call.m_repeated = m_failed_before;
  TxnRequest& txn = call.m_txn;
  txn.m_compares.push_back(
      {.m_key = OutcomeKey(m_edit), .m_target = CompareVersion{0}});
  for (const EditChange& change : m_edit.m_changes) {
    txn.m_compares.push_back(
        {.m_key = change.m_key,
         .m_target = CompareModRevision{change.m_expected}});
    txn.m_success.emplace_back(
        PutRequest{.m_key = change.m_key, .m_value = NewValue(change)});
  }
  std::string audit = AuditValueFor(kMaxAuditedValueBytes);
  if (audit.size() > kMaxValueBytes) {
    audit = AuditValueFor(0);
  }
  txn.m_success.emplace_back(
      PutRequest{.m_key = std::string(kHeadKey), .m_value = OutcomeValue()});
  txn.m_success.emplace_back(PutRequest{
      .m_key = AuditKey(m_edit.m_time, m_edit.m_id), .m_value = audit});
  txn.m_success.emplace_back(
      PutRequest{.m_key = OutcomeKey(m_edit), .m_value = OutcomeValue()});
  txn.m_failure = ReadOperations();
  return call;
}

std::string EditProcess::AuditValueFor(size_t max_value_bytes) const {
  AuditRecord record;
  record.m_edit_id = m_edit.m_id;
  record.m_actor = m_edit.m_actor;
  record.m_time = m_edit.m_time;
  record.m_description = m_edit.m_description;
  for (size_t i = 0; i < m_edit.m_changes.size(); ++i) {
    const EditChange& change = m_edit.m_changes[i];
    AuditChange audited{.m_key = change.m_key};
    if (change.m_expected != 0) {
      audited.m_before = MakeAuditValue(m_before[i], max_value_bytes);
    }
    audited.m_after = MakeAuditValue(NewValue(change), max_value_bytes);
    record.m_changes.push_back(std::move(audited));
  }
  return EncodeAuditRecord(record);
}

std::string EditProcess::OutcomeValue() const {
  Json json = {{"edit", m_edit.m_id},
               {"when", m_edit.m_time.time_since_epoch().count()},
               {"digest", m_digest}};
  return DumpJson(json);
}

void EditProcess::OnReply(const TxnReply& reply) {
  m_failed_before = false;
  if (m_phase == Phase::kWrite && reply.m_succeeded) {
    Finish(EditApplied{reply.m_revision, false});
    return;
  }
  TakeState(reply);
}

void EditProcess::TakeState(const TxnReply& reply) {
  if (reply.m_replies.size() != m_edit.m_changes.size() + 1) {
    OnFailure(m_phase == Phase::kWrite ? CallEffect::kMayBeWritten
                                       : CallEffect::kUnavailable,
              "the store's answer does not have the expected form");
    return;
  }
  if (const KeyValue* outcome = FirstOf(reply.m_replies[0])) {
    TakeEarlier(*outcome);
    return;
  }
  EditConflict conflict;
  m_before.clear();
  for (size_t i = 0; i < m_edit.m_changes.size(); ++i) {
    const EditChange& change = m_edit.m_changes[i];
    const KeyValue* found = FirstOf(reply.m_replies[i + 1]);
    KeyValue current =
        found == nullptr ? KeyValue{.m_key = change.m_key} : *found;
    m_before.push_back(current.m_value);
    if (current.m_mod_revision != change.m_expected) {
      conflict.m_current.push_back(std::move(current));
    }
  }
  // A write on its way cannot apply later either: mod revisions never return to
  // an earlier value.
  if (!conflict.m_current.empty()) {
    Finish(std::move(conflict));
    return;
  }
  m_phase = Phase::kWrite;
}

void EditProcess::TakeEarlier(const KeyValue& outcome) {
  const auto json = ParseJsonObject(outcome.m_value);
  if (!json || json->value("digest", Json()) != m_digest) {
    Finish(EditNotApplied{
        false, "edit id " + m_edit.m_id + " belongs to another edit"});
    return;
  }
  Finish(EditApplied{outcome.m_mod_revision, !m_may_be_written});
}

void EditProcess::OnFailure(CallEffect effect, const std::string& reason) {
  m_last_reason = reason;
  m_failed_before = true;
  if (m_phase == Phase::kWrite && effect == CallEffect::kMayBeWritten) {
    m_may_be_written = true;
  }
  if (effect == CallEffect::kNotWritten && !m_may_be_written) {
    Finish(EditNotApplied{false, reason});
    return;
  }
  // A write that certainly had no effect needs no new read. Reading again would
  // take the call budget's tokens that the write waits for.
  if (effect != CallEffect::kUnavailable) {
    m_phase = Phase::kRead;
  }
}

void EditProcess::Finish(EditOutcome outcome) {
  m_outcome = std::move(outcome);
  m_phase = Phase::kDone;
}

}  // namespace comfreyshift
