#include "entry/admission_gate.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

// Tasks that an entry lets out for each slot of the fleet. Agents keep short
// queues, so that more would only wait at owners instead of here.
constexpr uint32_t kTasksPerSlot = 8;

// Tasks that may wait here for each that is out: about the longest time-out of
// callers at the usual run times.
constexpr uint32_t kQueuedPerRunning = 20;

// Tasks a second of a client without a quota.
constexpr double kNoLimit = 1e9;

// A client may save up its quota for this long.
constexpr double kBurstSeconds = 10;

constexpr Milliseconds kTickInterval{10};

NotRunReason ToReason(AdmissionRefusal refusal) {
  switch (refusal) {
    case AdmissionRefusal::kUnknownClient:
      return NotRunReason::kDenied;
    case AdmissionRefusal::kCannotRun:
      return NotRunReason::kCannotRun;
    case AdmissionRefusal::kQuota:
      return NotRunReason::kQuota;
    case AdmissionRefusal::kQueueFull:
      return NotRunReason::kQueueFull;
    case AdmissionRefusal::kDeadline:
      return NotRunReason::kDeadline;
  }
  return NotRunReason::kQueueFull;
}

uint32_t CountSlots(const Inventory& inventory) {
  uint32_t slots = 0;
  for (const auto& [name, target] : inventory.m_targets) {
    slots += target.m_lifecycle == Lifecycle::kActive ? target.m_slots : 0;
  }
  return slots;
}

}  // namespace

AdmissionGate::AdmissionGate(std::string entry_name, RunFunction run)
    : m_entry_name(std::move(entry_name)), m_run(std::move(run)) {}

void AdmissionGate::Configure(MonoTime now,
                              const Inventory& inventory,
                              uint32_t entries) {
  const uint32_t slots = CountSlots(inventory);
  if (slots == 0) {
    return;
  }
  // The limits are fixed when admission is made; a change of the fleet's size
  // takes effect while nothing waits.
  if (!m_admission || (slots != m_slots && m_waiting.empty() &&
                       m_admission->running_tasks() == 0)) {
    AdmissionConfig config;
    config.m_entry = m_entry_name;
    config.m_max_running = slots * kTasksPerSlot;
    config.m_max_queued = config.m_max_running * kQueuedPerRunning;
    m_admission = std::make_unique<Admission>(config, now);
    m_slots = slots;
  }
  std::vector<ClientQuota> quotas;
  for (const auto& [name, client] : inventory.m_clients) {
    ClientQuota quota;
    quota.m_client = name;
    quota.m_rate =
        client.m_starts_per_second == 0 ? kNoLimit : client.m_starts_per_second;
    quota.m_burst =
        std::max<double>(quota.m_rate * kBurstSeconds, kMaxTasksPerJob);
    quota.m_weight = std::max(1U, client.m_weight);
    quotas.push_back(std::move(quota));
  }
  m_admission->SetClients(now, quotas);
  m_admission->SetEntries(now, std::max(1U, entries));
}

void AdmissionGate::Submit(MonoTime now,
                           Submission submission,
                           JobSession::DoneFunction done) {
  if (!m_admission) {
    m_run(std::move(submission), std::move(done));
    return;
  }
  const auto admitted = m_admission->Admit(
      now, submission.m_client,
      static_cast<uint32_t>(submission.m_tasks.size()), submission.m_deadline);
  if (!admitted) {
    done(AttemptRejected{ToReason(admitted.error().m_refusal),
                         admitted.error().m_message});
    return;
  }
  if (const auto* later = std::get_if<AdmissionQueued>(&admitted.value())) {
    m_waiting.emplace(later->m_ticket,
                      Waiting{std::move(submission), std::move(done)});
    return;
  }
  Run(now, std::move(submission), std::move(done));
}

void AdmissionGate::Run(MonoTime now,
                        Submission submission,
                        JobSession::DoneFunction done) {
  const auto tasks = static_cast<uint32_t>(submission.m_tasks.size());
  m_run(std::move(submission),
        [this, tasks, now, done = std::move(done)](SessionAnswer answer) {
          const MonoTime end = BootClock::now();
          m_admission->Release(end, tasks);
          m_admission->OnJobEnded(end - now);
          done(std::move(answer));
          Tick(end);
        });
}

void AdmissionGate::Tick(MonoTime now) {
  if (!m_admission) {
    return;
  }
  for (const TicketEvent& event : m_admission->Tick(now)) {
    const TicketId ticket =
        std::visit([](const auto& value) { return value.m_ticket; }, event);
    auto found = m_waiting.extract(ticket);
    if (found.empty()) {
      continue;
    }
    Waiting waiting = std::move(found.mapped());
    if (const auto* refused = std::get_if<TicketRefused>(&event)) {
      waiting.m_done(AttemptRejected{ToReason(refused->m_error.m_refusal),
                                     refused->m_error.m_message});
    } else {
      Run(now, std::move(waiting.m_submission), std::move(waiting.m_done));
    }
  }
}

MonoTime AdmissionGate::NextDeadline(MonoTime now) const {
  return m_waiting.empty() ? MonoTime::max() : now + kTickInterval;
}

}  // namespace comfreyshift
