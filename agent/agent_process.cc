#include "agent/agent_process.h"

#include <algorithm>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

// A peer that does not return its records within this time is asked again.
constexpr Milliseconds kCollectTimeout{2000};

constexpr Milliseconds kAdoptTimeout{2000};

std::string Subject(std::string_view kind, std::string_view name) {
  return std::string(kind) + ":" + std::string(name);
}

}  // namespace

Result<std::unique_ptr<AgentProcess>, NodeError> AgentProcess::Start(
    AgentConfig config,
    RpcRuntime& runtime) {
  std::unique_ptr<AgentProcess> agent(
      new AgentProcess(std::move(config), runtime));
  auto node =
      ProcessNode::Start(agent->m_config.m_node, runtime, *agent, *agent);
  if (!node) {
    return node.error();
  }
  agent->m_node = std::move(node.value());
  return agent;
}

AgentProcess::AgentProcess(AgentConfig config, RpcRuntime& /*runtime*/)
    : m_config(std::move(config)),
      m_owner(m_config.m_owner, m_config.m_node.m_self.m_id),
      m_starter(m_config.m_starter, m_config.m_node.m_self.m_id),
      m_target(m_config.m_target_address,
               m_config.m_target_connections,
               m_config.m_max_answer_bytes) {}

void AgentProcess::Drain(MonoTime deadline, std::function<void()> on_drained) {
  m_departure = std::make_shared<Departure>(*m_node, m_owner, m_starter,
                                            deadline, std::move(on_drained));
  m_departure->Begin(BootClock::now());
  m_node->Wake();
}

std::string AgentProcess::RenderMetrics() {
  return m_node->RenderMetrics(m_counters, OnStatus({}));
}

bool AgentProcess::ready(MonoTime now) const {
  return m_node->FreshUntil(now) > now && !m_departure;
}

void AgentProcess::OnConfigApplied(MonoTime now) {
  const ConfigView& view = m_node->view();
  m_owner.SetInventory(now, view.inventory());
  m_starter.SetInventory(view.inventory());
  m_owner.SetTable(now, WallNow(), view.table_revision(), view.table());
  m_starter.SetTable(view.table());
}

void AgentProcess::OnMembershipEvent(MonoTime now,
                                     const MembershipEvent& event) {
  if (const auto* confirmed = std::get_if<RevisionConfirmed>(&event)) {
    m_owner.OnRevisionConfirmed(now, confirmed->m_revision);
  } else if (const auto* load = std::get_if<PeerLoad>(&event)) {
    m_owner.OnLoad(now, load->m_id,
                   {load->m_load.m_running, load->m_load.m_queued,
                    load->m_load.m_slots, std::nullopt});
  }
}

MonoTime AgentProcess::OnTick(MonoTime now) {
  const MonoTime fresh_until = m_node->FreshUntil(now);
  m_owner.SetFreshUntil(fresh_until);
  m_starter.SetFreshUntil(fresh_until);
  const WallTime wall_now = WallNow();
  m_owner.Tick(now, wall_now);
  m_starter.Tick(now, wall_now);
  DoStarterActions(now);
  DoOwnerActions(now);
  const LoadReport load = m_starter.Load();
  m_node->membership().SetLocalLoad({static_cast<uint16_t>(load.m_running),
                                     static_cast<uint16_t>(load.m_queued),
                                     static_cast<uint16_t>(load.m_slots)});
  MonoTime next = std::min(m_owner.NextDeadline(), m_starter.NextDeadline());
  if (m_departure) {
    const bool has_callers =
        !m_waiting_jobs.empty() || !m_waiting_starts.empty();
    m_departure->Tick(now, has_callers);
    next = std::min(next, m_departure->NextDeadline());
  }
  return next;
}

void AgentProcess::DoOwnerActions(MonoTime now) {
  for (OwnerAction& action : m_owner.TakeActions()) {
    std::visit([&](auto& value) { Do(now, std::move(value)); }, action);
  }
}

void AgentProcess::DoStarterActions(MonoTime now) {
  for (StarterAction& action : m_starter.TakeActions()) {
    std::visit([&](auto& value) { Do(now, std::move(value)); }, action);
  }
}

void AgentProcess::OnStartResult(const ProcessId& from,
                                 const TaskRef& task,
                                 Result<StartReply, RpcError> result) {
  const MonoTime now = BootClock::now();
  if (result) {
    m_owner.OnStartReply(now, from, std::move(result.value()));
  } else {
    m_counters.Add("rpc_replies_lost_total");
    m_owner.OnReplyLost(now, from, task);
  }
  m_node->Wake();
}

// A start command that never left this process has certainly started nothing.
Result<StartReply, RpcError> AgentProcess::ResolveNotSent(
    const StartCommand& command,
    Result<StartReply, RpcError> result) {
  if (result || result.error().m_failure != RpcFailure::kNotSent) {
    return result;
  }
  m_counters.Add("start_commands_not_sent_total");
  return StartReply{command.m_task, command.m_attempt,
                    TaskNotStarted{NotRunReason::kTargetUnreachable},
                    LoadReport{}};
}

void AgentProcess::Do(MonoTime now, const SendStart& action) {
  const Member* member = m_node->view().table()->Find(action.m_to);
  const TaskRef task = action.m_command.m_task;
  if (member == nullptr) {
    m_owner.OnStartReply(
        now, action.m_to,
        {task, action.m_command.m_attempt,
         TaskNotStarted{NotRunReason::kNotMember}, LoadReport{}});
    return;
  }
  m_counters.Add("start_commands_total");
  m_node->peers().Start(
      ToPeer(*member), action.m_command,
      [this, to = action.m_to,
       command = action.m_command](Result<StartReply, RpcError> result) {
        OnStartResult(to, command.m_task,
                      ResolveNotSent(command, std::move(result)));
      });
}

void AgentProcess::Do(MonoTime now, const SendSettle& action) {
  const Member* member = m_node->view().table()->Find(action.m_to);
  const TaskRef task = action.m_command.m_task;
  if (member == nullptr) {
    m_owner.OnReplyLost(now, action.m_to, task);
    return;
  }
  m_counters.Add("settle_commands_total");
  m_node->peers().Settle(
      ToPeer(*member), action.m_command,
      [this, to = action.m_to, task](Result<StartReply, RpcError> result) {
        OnStartResult(to, task, std::move(result));
      });
}

void AgentProcess::Do(MonoTime /*now*/, const SendCancel& action) {
  const Member* member = m_node->view().table()->Find(action.m_to);
  if (member != nullptr) {
    m_node->peers().CancelTask(ToPeer(*member), action.m_task);
  }
}

void AgentProcess::Do(MonoTime now, const SendCollect& action) {
  const Member* member = m_node->view().table()->Find(action.m_to);
  if (member == nullptr) {
    m_owner.OnCollectLost(now, action.m_to, action.m_command);
    return;
  }
  m_counters.Add("collect_commands_total");
  m_node->peers().Collect(
      ToPeer(*member), action.m_command, now + kCollectTimeout,
      [this, to = action.m_to,
       command = action.m_command](Result<CollectReply, RpcError> result) {
        const MonoTime later = BootClock::now();
        if (result) {
          m_owner.OnCollectReply(later, WallNow(), to, command,
                                 std::move(result.value()));
        } else {
          m_owner.OnCollectLost(later, to, command);
        }
        m_node->Wake();
      });
}

void AgentProcess::Do(MonoTime now, const SendAdopt& action) {
  const uint64_t id = action.m_command.m_id;
  const Member* member = m_node->view().table()->Find(action.m_to);
  if (member == nullptr) {
    m_owner.OnAdoptDone(now, id, false);
    return;
  }
  m_node->peers().Adopt(ToPeer(*member), action.m_command, now + kAdoptTimeout,
                        [this, id](Result<bool, RpcError> result) {
                          m_owner.OnAdoptDone(BootClock::now(), id,
                                              result && result.value());
                          m_node->Wake();
                        });
}

void AgentProcess::Do(MonoTime /*now*/, const JobEnded& action) {
  m_counters.Add("jobs_ended_total");
  AnswerWaiting(action.m_key, action.m_answer);
}

void AgentProcess::Do(MonoTime /*now*/, const JobDropped& action) {
  m_counters.Add("jobs_dropped_total");
  AnswerWaiting(action.m_key, NotRunReason::kNotOwner);
}

void AgentProcess::AnswerWaiting(const SubmissionKey& key,
                                 const SubmitReply& answer) {
  const auto found = m_waiting_jobs.find(key);
  if (found == m_waiting_jobs.end()) {
    return;
  }
  const auto replies = std::move(found->second);
  m_waiting_jobs.erase(found);
  for (const Reply<SubmitReply>& reply : replies) {
    reply(answer);
  }
}

void AgentProcess::Do(MonoTime /*now*/, const RunTask& action) {
  const TaskRef task = action.m_task;
  // The proof may have expired since the starter chose the task: checked again
  // with a fresh clock reading right before the request is written.
  auto may_start = [this, client = action.m_client]() {
    const MonoTime now = BootClock::now();
    m_starter.SetFreshUntil(m_node->FreshUntil(now));
    return m_starter.MayStart(now, client);
  };
  auto on_sent = [this, action]() { NoteStart(action); };
  m_target.Run(action, std::move(may_start), std::move(on_sent),
               [this, task, client = action.m_client](TaskOutcome outcome) {
                 if (!std::holds_alternative<TaskNotStarted>(outcome)) {
                   NoteEnd(client);
                 }
                 m_starter.OnTaskEnded(BootClock::now(), task,
                                       std::move(outcome));
                 m_node->Wake();
               });
}

void AgentProcess::Do(MonoTime /*now*/, ReplyStart action) {
  const auto found = m_waiting_starts.find(action.m_token);
  if (found == m_waiting_starts.end()) {
    return;
  }
  const Reply<StartReply> reply = std::move(found->second);
  m_waiting_starts.erase(found);
  reply(std::move(action.m_reply));
}

std::vector<std::string> AgentProcess::SubjectsOf(
    const std::string& client) const {
  return {Subject("client", client),
          Subject("target", m_config.m_starter.m_target),
          Subject("zone", m_node->self().m_zone)};
}

void AgentProcess::NoteEnd(const std::string& client) {
  for (const std::string& name : SubjectsOf(client)) {
    --m_subjects[name].m_running;
  }
}

void AgentProcess::NoteStart(const RunTask& task) {
  const WallTime now = WallNow();
  ++m_starts;
  m_counters.Add("starts_total");
  for (const std::string& name : SubjectsOf(task.m_client)) {
    SubjectStatus& subject = m_subjects[name];
    subject.m_subject = name;
    subject.m_last_start = now;
    ++subject.m_running;
  }
  LogEvent(LogLevel::kDebug, "agent", "task_started",
           {{"key", task.m_task.m_key.ToString()},
            {"index", uint64_t{task.m_task.m_index}},
            {"client", task.m_client},
            {"revision", m_node->applied_revision()}});
}

void AgentProcess::OnSubmit(Submission submission,
                            Revision revision,
                            Reply<SubmitReply> reply) {
  // A job refused as not run stays refused. One that a newer configuration lets
  // in must not be refused under an older one.
  if (revision > m_node->applied_revision()) {
    reply(NotRunReason::kNotFresh);
    return;
  }
  const SubmissionKey key = submission.m_key;
  const MonoTime now = BootClock::now();
  m_owner.SetFreshUntil(m_node->FreshUntil(now));
  SubmitResult result = m_owner.Submit(now, WallNow(), std::move(submission));
  if (auto* answered = std::get_if<SubmitAnswered>(&result)) {
    reply(std::move(answered->m_answer));
  } else if (const auto* redirect = std::get_if<SubmitRedirect>(&result)) {
    m_counters.Add("submissions_redirected_total");
    reply(redirect->m_reason);
  } else {
    m_counters.Add(std::get<SubmitAccepted>(result).m_attached
                       ? "submissions_attached_total"
                       : "submissions_accepted_total");
    m_waiting_jobs[key].push_back(std::move(reply));
  }
  m_node->Wake();
}

std::optional<JobAnswer> AgentProcess::OnFetch(const SubmissionKey& key) {
  return m_owner.Fetch(key);
}

bool AgentProcess::OnCancel(const SubmissionKey& key) {
  const bool known = m_owner.Cancel(BootClock::now(), key);
  m_node->Wake();
  return known;
}

ReplyToken AgentProcess::KeepReply(Reply<StartReply> reply) {
  const ReplyToken token = m_next_token++;
  m_waiting_starts.emplace(token, std::move(reply));
  return token;
}

void AgentProcess::OnStart(StartCommand command, Reply<StartReply> reply) {
  const MonoTime now = BootClock::now();
  m_starter.SetFreshUntil(m_node->FreshUntil(now));
  m_starter.OnStart(now, WallNow(), KeepReply(std::move(reply)),
                    std::move(command));
  m_node->Wake();
}

void AgentProcess::OnSettle(const SettleCommand& command,
                            Reply<StartReply> reply) {
  m_starter.OnSettle(BootClock::now(), WallNow(), KeepReply(std::move(reply)),
                     command);
  m_node->Wake();
}

void AgentProcess::OnCancelTask(const TaskRef& task) {
  m_starter.OnCancel(BootClock::now(), task);
  m_node->Wake();
}

CollectReply AgentProcess::OnCollect(const CollectCommand& command) {
  const MonoTime now = BootClock::now();
  CollectReply reply = m_starter.OnCollect(now, command);
  m_owner.OnCollect(now, command, reply);
  m_node->Wake();
  return reply;
}

ConfigChanges AgentProcess::OnConfig(Revision since) {
  return m_node->ChangesSince(since);
}

ProcessStatus AgentProcess::OnStatus(const std::vector<std::string>& subjects) {
  const MonoTime now = BootClock::now();
  ProcessStatus status;
  status.m_revision = m_node->applied_revision();
  const MonoTime fresh_until = m_node->FreshUntil(now);
  status.m_fresh_left =
      fresh_until > now ? fresh_until - now : Microseconds(-1);
  const LoadReport load = m_starter.Load();
  status.m_running = load.m_running;
  status.m_queued = load.m_queued;
  status.m_starts = m_starts;
  status.m_jobs = static_cast<uint32_t>(m_owner.running_jobs());
  for (const std::string& subject : subjects) {
    const auto found = m_subjects.find(subject);
    status.m_subjects.push_back(found == m_subjects.end()
                                    ? SubjectStatus{subject, WallTime(), 0}
                                    : found->second);
  }
  return status;
}

bool AgentProcess::OnLeave(const ProcessId& /*member*/) {
  // Only entries write the table.
  return false;
}

bool AgentProcess::OnAdopt(const AdoptCommand& command) {
  return m_starter.OnAdopt(WallNow(), command);
}

}  // namespace comfreyshift
