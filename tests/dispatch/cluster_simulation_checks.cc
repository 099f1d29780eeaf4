#include <algorithm>
#include <utility>

#include "tests/dispatch/cluster_simulation.h"

namespace comfreyshift {

namespace {

constexpr Milliseconds kFreshness = std::chrono::seconds(5);
constexpr Milliseconds kResubmitInterval{400};
constexpr Milliseconds kDeadline = std::chrono::seconds(20);
// Losses of members in one rack within this time count as a single loss.
constexpr Milliseconds kSingleLossWindow = std::chrono::seconds(5);
constexpr Milliseconds kFinishTime = std::chrono::seconds(70);
constexpr WallTime kStartWallTime(Milliseconds(1'796'378'400'000));

}  // namespace

void ClusterSimulation::Submit(uint32_t pick) {
  Job job;
  Submission& submission = job.m_submission;
  // The caller's clock differs from all others by at most the allowed error.
  submission.m_first_sent =
      kStartWallTime +
      std::chrono::duration_cast<Milliseconds>(m_now - m_start_time) +
      Milliseconds(Random(4800)) - Milliseconds(2400);
  submission.m_key =
      SubmissionKey::Make(submission.m_first_sent, m_random(), m_random());
  submission.m_client = "c" + std::to_string(pick % 2);
  submission.m_tasks.resize(1 + pick % 5);
  for (TaskSpec& task : submission.m_tasks) {
    task.m_request = "r";
  }
  const SubmissionKey key = submission.m_key;
  m_keys.push_back(key);
  m_jobs[key] = std::move(job);
  Resubmit(static_cast<uint32_t>(m_keys.size() - 1));
}

void ClusterSimulation::Resubmit(uint32_t pick) {
  if (m_keys.empty()) {
    return;
  }
  // The table of a random process simulates that of an entry process.
  const SubmissionKey key = m_keys[pick % m_keys.size()];
  const auto entry = std::next(m_processes.begin(),
                               static_cast<int>(Random(m_processes.size())));
  const PartitionTable& table = m_configs[entry->second.m_revision].m_table;
  const Partition& partition = table.m_partitions[key.Partition(
      static_cast<uint32_t>(table.m_partitions.size()))];
  if (partition.m_owner) {
    SendSubmission(key, *partition.m_owner);
  }
}

void ClusterSimulation::SendSubmission(SubmissionKey key, const ProcessId& to) {
  const int copies = m_faults && Chance(15) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    ScheduleAt(m_now + Delay(), [=, this] {
      RunOnProcess(to, [=, this](Process& process) {
        Job& job = m_jobs.at(key);
        Submission submission = job.m_submission;
        submission.m_deadline = m_now + kDeadline;
        const SubmitResult result = process.m_owner->Submit(
            m_now, WallTimeOf(process), std::move(submission));
        if (const auto* answered = std::get_if<SubmitAnswered>(&result)) {
          CheckAnswer(key, answered->m_answer);
          job.m_answered = job.m_answered || process.m_network_side == 0;
        } else if (std::holds_alternative<SubmitAccepted>(result)) {
          job.m_attached.insert(to);
        }
      });
    });
  }
}

// Resubmits the jobs whose owner is dead or isolated or has dropped the job.
void ClusterSimulation::ResubmitUnanswered() {
  ScheduleAt(m_now + kResubmitInterval, [this] { ResubmitUnanswered(); });
  for (auto& [key, job] : m_jobs) {
    const auto reachable = [this](const ProcessId& id) {
      const Process* process = Find(id);
      return process != nullptr && process->m_network_side == 0;
    };
    if (job.m_answered ||
        std::any_of(job.m_attached.begin(), job.m_attached.end(), reachable)) {
      continue;
    }
    const auto& partitions = current().m_table.m_partitions;
    const Partition& partition =
        partitions[key.Partition(static_cast<uint32_t>(partitions.size()))];
    if (partition.m_owner && reachable(*partition.m_owner)) {
      SendSubmission(key, *partition.m_owner);
    }
  }
}

void ClusterSimulation::CancelJob(uint32_t pick) {
  if (m_keys.empty()) {
    return;
  }
  const SubmissionKey key = m_keys[pick % m_keys.size()];
  for (const ProcessId& id : m_jobs.at(key).m_attached) {
    ScheduleAt(m_now + Delay(), [=, this] {
      RunOnProcess(id, [=, this](Process& process) {
        process.m_owner->Cancel(m_now, key);
      });
    });
  }
}

void ClusterSimulation::Kill(uint32_t pick) {
  if (Process* process = PickMember(pick)) {
    Stop(*process, false);
  }
}

void ClusterSimulation::KillRack(uint32_t pick) {
  const Process* first = PickMember(pick);
  for (auto& [id, process] : m_processes) {
    if (first != nullptr && process.m_member.m_rack == first->m_member.m_rack) {
      Stop(process, false);
    }
  }
}

void ClusterSimulation::Isolate(uint32_t pick) {
  if (Process* process = PickMember(pick)) {
    process->m_network_side = 1;
  }
}

void ClusterSimulation::ReconnectAll() {
  for (auto& [id, process] : m_processes) {
    if (std::exchange(process.m_network_side, 0) == 0) {
      continue;
    }
    // The connections of the callers to the isolated process were broken.
    for (auto& [key, job] : m_jobs) {
      job.m_attached.erase(id);
    }
  }
}

void ClusterSimulation::Pause(uint32_t pick) {
  if (Process* process = PickMember(pick)) {
    process->m_paused = true;
  }
}

void ClusterSimulation::Resume() {
  for (auto& [id, process] : m_processes) {
    process.m_paused = false;
  }
}

void ClusterSimulation::DeclareDead(uint32_t pick) {
  // Removes the dead members. Without one, removes a live member, as after a
  // false suspicion.
  TableChange change;
  for (const Member& member : current().m_table.m_members) {
    if (Find(member.m_id) == nullptr) {
      change.m_dead.push_back(member.m_id);
    }
  }
  const Process* process = PickMember(pick);
  if (change.m_dead.empty() && process != nullptr && !process->m_leaving) {
    change.m_dead.push_back(process->m_member.m_id);
  }
  if (!change.m_dead.empty()) {
    Change(change);
  }
}

void ClusterSimulation::Rejoin() {
  TableChange change;
  for (const Member& member : std::exchange(m_waiting_to_join, {})) {
    change.m_joining.push_back(member);
    const ProcessId old{member.m_id.m_name, member.m_id.m_incarnation - 1};
    if (current().m_table.Find(old) != nullptr) {
      change.m_dead.push_back(old);
    }
  }
  if (change.m_joining.empty()) {
    return;
  }
  Change(change);
  for (const Member& member : change.m_joining) {
    StartProcess(member);
  }
}

void ClusterSimulation::Leave(uint32_t pick) {
  Process* process = PickMember(pick);
  if (process == nullptr || process->m_leaving ||
      process->m_network_side != 0) {
    return;
  }
  process->m_leaving = true;
  process->m_owner->StartDraining(m_now);
  process->m_starter->StartDraining(m_now);
  TryLeave(process->m_member.m_id, {});
}

void ClusterSimulation::TryLeave(const ProcessId& id,
                                 std::set<ProcessId> refused) {
  Process* process = Find(id);
  if (process == nullptr || current().m_table.Find(id) == nullptr) {
    return;
  }
  const bool last = current().m_table.m_members.size() == 1;
  if (process->m_paused || process->m_network_side != 0 || last ||
      !process->m_owner->drained() || process->m_starter->running() > 0 ||
      process->m_revision + 1 != m_configs.size()) {
    ScheduleAt(m_now + Milliseconds(100), [=, this] { TryLeave(id, {}); });
    return;
  }
  std::vector<StartRecord> records = process->m_owner->Records();
  for (StartRecord& record : process->m_starter->BeginHandover()) {
    records.push_back(std::move(record));
  }
  const HandoverPlan plan =
      PlanHandover(current().m_table, id, std::move(records), refused);
  bool kept = plan.m_complete;
  if (!kept) {
    refused.clear();
  }
  for (const SendAdopt& adopt : plan.m_commands) {
    Process* holder = Find(adopt.m_to);
    const bool adopted =
        holder != nullptr && !holder->m_paused && holder->m_network_side == 0 &&
        holder->m_starter->OnAdopt(WallTimeOf(*holder), adopt.m_command);
    if (!adopted) {
      kept = false;
      refused.insert(adopt.m_to);
    }
  }
  if (!kept) {
    process->m_starter->AbortHandover();
    ScheduleAt(m_now + Milliseconds(100), [=, this] { TryLeave(id, refused); });
    return;
  }
  m_left_cleanly = true;
  TableChange change;
  change.m_leaving_cleanly.push_back(id);
  Change(change);
}

void ClusterSimulation::EditInventory(uint32_t pick) {
  Inventory inventory = current().m_inventory;
  const std::string number = std::to_string(pick / 3 % 2);
  const auto flip = [](Lifecycle& stage) {
    stage =
        stage == Lifecycle::kActive ? Lifecycle::kLeaving : Lifecycle::kActive;
  };
  if (pick % 3 == 0) {
    bool& open = inventory.m_zones["z" + number].m_open;
    open = !open;
  } else if (pick % 3 == 1) {
    flip(inventory.m_targets["t" + number].m_lifecycle);
  } else {
    flip(inventory.m_clients["c" + number].m_lifecycle);
  }
  AddConfig(current().m_table, std::move(inventory));
}

void ClusterSimulation::CheckStart(const Process& process, const RunTask& run) {
  const std::string where =
      process.m_member.m_target + " of " + process.m_member.m_id.m_name;
  const auto [found, first] = m_starts.try_emplace(run.m_task, where);
  const std::string task = run.m_task.m_key.ToString() + " task " +
                           std::to_string(run.m_task.m_index);
  if (!first) {
    ReportViolation(task + " started at " + found->second + " and again at " +
                    where);
  }
  if (m_jobs.at(run.m_task.m_key).m_not_run) {
    ReportViolation(task + " started after its caller was told \"not run\"");
  }
  // A start must be allowed by a configuration that some process may still use.
  for (auto config = m_configs.rbegin(); config != m_configs.rend(); ++config) {
    if (!config->m_inventory.CheckStart(run.m_client,
                                        process.m_member.m_target)) {
      return;
    }
    if (config->m_confirmed_at + kFreshness < m_now) {
      break;
    }
  }
  ReportViolation(
      task + " started at " + where +
      " although the configuration forbade it for longer than the maximum "
      "age of a freshness proof");
}

void ClusterSimulation::CheckAnswer(const SubmissionKey& key,
                                    const JobAnswer& answer) {
  Job& job = m_jobs.at(key);
  const auto first = m_starts.lower_bound(TaskRef{key, 0});
  const bool started = first != m_starts.end() && first->first.m_key == key;
  if (const auto* complete = std::get_if<JobComplete>(&answer)) {
    ++m_answer_counts["complete"];
    if (complete->m_answers.size() != job.m_submission.m_tasks.size()) {
      ReportViolation(key.ToString() +
                      " has an answer that does not cover all tasks");
    }
    for (uint32_t i = 0; i < complete->m_answers.size(); ++i) {
      const std::string wanted = key.ToString() + "#" + std::to_string(i);
      if (complete->m_answers[i].m_body != wanted ||
          !complete->m_answers[i].ok()) {
        ReportViolation(wanted + " has the answer of another task");
      }
    }
  } else if (const auto* failed = std::get_if<JobFailed>(&answer)) {
    ++m_answer_counts[std::string(ToString(failed->m_failure))];
    if (failed->m_failure == JobFailure::kUnknownMayHaveRun) {
      job.m_unknown = true;
    }
  } else {
    ++m_answer_counts["not_run"];
    job.m_not_run = true;
    if (started) {
      ReportViolation(key.ToString() +
                      " was answered \"not run\" after a start");
    }
  }
}

// After the loss of one worker or one rack, with agents left in another rack, a
// job may end as unknown only if a task of it was in flight at a lost process
// or its target broke the connection.
void ClusterSimulation::CheckUnknownOutcome(const Job& job) {
  const bool unknown_allowed = !job.m_unknown || job.m_injected_loss ||
                               m_lost_racks.size() > 1 || m_had_one_rack ||
                               m_last_loss > m_first_loss + kSingleLossWindow ||
                               (m_left_cleanly && !m_lost_racks.empty());
  if (unknown_allowed) {
    return;
  }
  const bool was_in_flight = std::any_of(
      m_calls.begin(), m_calls.end(), [&](const std::shared_ptr<Call>& call) {
        return call->m_key == job.m_submission.m_key && !call->m_replied &&
               m_lost.contains(call->m_to);
      });
  if (!was_in_flight) {
    ReportViolation(job.m_submission.m_key.ToString() +
                    " ended as unknown although only one rack was lost");
  }
}

void ClusterSimulation::Finish() {
  m_faults = false;
  ReconnectAll();
  Resume();
  // The first inventory allows every start.
  AddConfig(current().m_table, m_configs.front().m_inventory);
  Advance(std::chrono::seconds(1));
  Rejoin();
  Advance(kFinishTime);
  for (const auto& [key, job] : m_jobs) {
    if (!job.m_answered) {
      ReportViolation(key.ToString() + " was never answered");
    }
    CheckUnknownOutcome(job);
  }
}

}  // namespace comfreyshift
