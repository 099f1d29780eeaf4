#include "entry/retirement_proof.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds kStatusTimeout{1000};

Json TimeOrNull(WallTime time) {
  return time == WallTime() ? Json() : Json(time.time_since_epoch().count());
}

bool Ended(const ProcessEvidence& evidence, WallTime now) {
  switch (evidence.m_state) {
    case WitnessState::kConfirmed:
      return evidence.m_running == 0;
    case WitnessState::kFenced:
      return evidence.m_fenced_at <= now;
    case WitnessState::kPending:
    case WitnessState::kUnreachable:
      return false;
  }
  return false;
}

}  // namespace

std::string_view ToString(RetirementState state) {
  switch (state) {
    case RetirementState::kInProgress:
      return "in_progress";
    case RetirementState::kNotYet:
      return "not_yet";
    case RetirementState::kDone:
      return "done";
  }
  return "not_yet";
}

std::string_view ToString(WitnessState state) {
  switch (state) {
    case WitnessState::kConfirmed:
      return "confirmed";
    case WitnessState::kPending:
      return "pending";
    case WitnessState::kUnreachable:
      return "unreachable";
    case WitnessState::kFenced:
      return "fenced";
  }
  return "unreachable";
}

RetirementState Conclude(const RetirementProof& proof, WallTime now) {
  bool all_ended = true;
  for (const ProcessEvidence& evidence : proof.m_processes) {
    if (evidence.m_state == WitnessState::kUnreachable) {
      return RetirementState::kNotYet;
    }
    all_ended &= Ended(evidence, now);
  }
  const bool in_force = proof.m_in_force && *proof.m_in_force <= now;
  return all_ended && in_force ? RetirementState::kDone
                               : RetirementState::kInProgress;
}

void RetirementQuery::Start(EntryProcess& entry,
                            std::string kind,
                            std::string name,
                            Revision revision,
                            Milliseconds lease,
                            DoneFunction done) {
  auto query = std::make_shared<RetirementQuery>(entry, lease, std::move(done));
  query->m_proof.m_kind = std::move(kind);
  query->m_proof.m_name = std::move(name);
  query->m_proof.m_revision = revision;
  query->AskAll();
}

RetirementQuery::RetirementQuery(EntryProcess& entry,
                                 Milliseconds lease,
                                 DoneFunction done)
    : m_entry(entry), m_lease(lease), m_done(std::move(done)) {}

void RetirementQuery::AskAll() {
  const auto table = m_entry.node().view().table();
  const MonoTime deadline = BootClock::now() + kStatusTimeout;
  const std::string subject = m_proof.m_kind + ":" + m_proof.m_name;
  // Held until all calls are made, so that the last reply finds them counted.
  m_open = 1;
  for (const Member& member : table->m_members) {
    if (member.m_role != MemberRole::kAgent) {
      continue;
    }
    const size_t index = m_proof.m_processes.size();
    ProcessEvidence evidence;
    evidence.m_id = member.m_id;
    m_proof.m_processes.push_back(std::move(evidence));
    ++m_open;
    m_entry.node().peers().Status(
        ToPeer(member), {subject}, deadline,
        [self = shared_from_this(),
         index](const Result<ProcessStatus, RpcError>& result) {
          self->OnStatus(index, result);
        });
  }
  AddDeparted(*table);
  Finish();
}

void RetirementQuery::OnStatus(size_t index,
                               const Result<ProcessStatus, RpcError>& result) {
  ProcessEvidence& evidence = m_proof.m_processes[index];
  if (result) {
    const ProcessStatus& status = result.value();
    evidence.m_revision = status.m_revision;
    evidence.m_seen_at = WallNow();
    evidence.m_state = status.m_revision >= m_proof.m_revision
                           ? WitnessState::kConfirmed
                           : WitnessState::kPending;
    if (!status.m_subjects.empty()) {
      evidence.m_last_start = status.m_subjects.front().m_last_start;
      evidence.m_running = status.m_subjects.front().m_running;
    }
  }
  Finish();
}

void RetirementQuery::AddDeparted(const PartitionTable& table) {
  for (const DepartedMember& departed : table.m_departed) {
    ProcessEvidence evidence;
    evidence.m_id = departed.m_id;
    evidence.m_state = WitnessState::kFenced;
    // Its proof had ended F after the table without it was written, by any
    // clock within the allowed error.
    evidence.m_fenced_at =
        departed.m_departed_at + m_lease +
        std::chrono::duration_cast<Milliseconds>(kAllowedClockError);
    m_proof.m_processes.push_back(std::move(evidence));
  }
}

void RetirementQuery::Finish() {
  if (--m_open > 0) {
    return;
  }
  const auto confirmed = m_entry.ConfirmedAt(m_proof.m_revision);
  if (confirmed) {
    m_proof.m_in_force = *confirmed + m_lease;
  }
  m_proof.m_state = Conclude(m_proof, WallNow());
  std::exchange(m_done, nullptr)(std::move(m_proof));
}

Json ToJson(const RetirementProof& proof) {
  Json processes = Json::array();
  for (const ProcessEvidence& evidence : proof.m_processes) {
    const bool is_seen = evidence.m_seen_at != WallTime();
    processes.push_back(
        {{"name", evidence.m_id.m_name},
         {"incarnation", evidence.m_id.m_incarnation},
         {"state", ToString(evidence.m_state)},
         {"revision", evidence.m_revision},
         {"confirmed_ms", evidence.m_state == WitnessState::kConfirmed
                              ? TimeOrNull(evidence.m_seen_at)
                              : Json()},
         {"last_start_ms", TimeOrNull(evidence.m_last_start)},
         {"running", is_seen ? Json(evidence.m_running) : Json()},
         {"fenced_at_ms", TimeOrNull(evidence.m_fenced_at)}});
  }
  return {{"kind", proof.m_kind},
          {"name", proof.m_name},
          {"state", ToString(proof.m_state)},
          {"revision", proof.m_revision},
          {"in_force_ms",
           proof.m_in_force ? TimeOrNull(*proof.m_in_force) : Json()},
          {"processes", std::move(processes)}};
}

}  // namespace comfreyshift
