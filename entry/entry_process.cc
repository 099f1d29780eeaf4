#include "entry/entry_process.h"

#include <algorithm>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

// A day of changes at the two-year size is 6,800; a proof is asked for within
// minutes.
constexpr size_t kConfirmedKept = 1024;

}  // namespace

Result<std::unique_ptr<EntryProcess>, NodeError> EntryProcess::Start(
    EntryConfig config,
    std::shared_ptr<StoreClient> store,
    RpcRuntime& runtime) {
  std::unique_ptr<EntryProcess> entry(new EntryProcess(std::move(store)));
  auto node =
      ProcessNode::Start(std::move(config.m_node), runtime, *entry, *entry);
  if (!node) {
    return node.error();
  }
  entry->m_node = std::move(node.value());
  entry->m_sync = std::make_shared<StoreSync>(entry->m_store, *entry->m_node);
  EntryProcess* raw = entry.get();
  entry->m_gate = std::make_unique<AdmissionGate>(
      entry->m_node->self().m_id.m_name,
      [raw](Submission submission, JobSession::DoneFunction done) {
        raw->Carry(std::move(submission), std::move(done));
      });
  entry->m_keeper = std::make_shared<TableKeeper>(
      config.m_table, entry->m_store, entry->m_sync, *entry->m_node);
  return entry;
}

EntryProcess::EntryProcess(std::shared_ptr<StoreClient> store)
    : m_store(std::move(store)) {}

void EntryProcess::Submit(Submission submission,
                          JobSession::DoneFunction done) {
  m_counters.Add("submissions_total");
  m_gate->Submit(BootClock::now(), std::move(submission),
                 [this, done = std::move(done)](SessionAnswer answer) {
                   if (std::holds_alternative<AttemptRejected>(answer)) {
                     m_counters.Add("submissions_rejected_total");
                   }
                   done(std::move(answer));
                 });
  m_node->Wake();
}

void EntryProcess::Carry(Submission submission, JobSession::DoneFunction done) {
  ++m_sessions;
  JobSession::Start(*m_node, std::move(submission),
                    [this, done = std::move(done)](SessionAnswer answer) {
                      --m_sessions;
                      done(std::move(answer));
                    });
}

void EntryProcess::Fetch(const SubmissionKey& key,
                         std::function<void(std::optional<JobAnswer>)> done) {
  const Member* owner = FindOwner(*m_node->view().table(), key);
  if (owner == nullptr) {
    done(std::nullopt);
    return;
  }
  m_node->peers().Fetch(
      ToPeer(*owner), key,
      [done =
           std::move(done)](Result<std::optional<JobAnswer>, RpcError> result) {
        done(result ? std::move(result.value()) : std::nullopt);
      });
}

void EntryProcess::Cancel(const SubmissionKey& key,
                          std::function<void(bool)> done) {
  const Member* owner = FindOwner(*m_node->view().table(), key);
  if (owner == nullptr) {
    done(false);
    return;
  }
  m_node->peers().Cancel(
      ToPeer(*owner), key,
      [done = std::move(done)](Result<bool, RpcError> result) {
        done(result && result.value());
      });
}

std::string EntryProcess::RenderMetrics() {
  return m_node->RenderMetrics(m_counters, OnStatus({}));
}

bool EntryProcess::ready(MonoTime now) const {
  return m_node->FreshUntil(now) > now &&
         !m_node->view().table()->m_partitions.empty();
}

uint32_t EntryProcess::LiveEntries() {
  const auto live = m_node->membership().LiveMembers();
  // This process does not list itself.
  uint32_t count = 1;
  for (const Member& member : m_node->view().table()->m_members) {
    const bool is_live =
        std::find(live.begin(), live.end(), member.m_id) != live.end();
    count += member.m_role == MemberRole::kEntry && is_live ? 1 : 0;
  }
  return count;
}

void EntryProcess::OnConfigApplied(MonoTime now) {
  m_gate->Configure(now, *m_node->view().inventory(), LiveEntries());
}

void EntryProcess::OnMembershipEvent(MonoTime now,
                                     const MembershipEvent& event) {
  m_keeper->OnMembershipEvent(now, event);
  if (const auto* confirmed = std::get_if<RevisionConfirmed>(&event)) {
    m_confirmed.emplace(confirmed->m_revision, WallNow());
    if (m_confirmed.size() > kConfirmedKept) {
      m_confirmed.erase(m_confirmed.begin());
    }
  }
}

std::optional<WallTime> EntryProcess::ConfirmedAt(Revision revision) const {
  const auto found = m_confirmed.lower_bound(revision);
  if (found == m_confirmed.end()) {
    return std::nullopt;
  }
  return found->second;
}

MonoTime EntryProcess::OnTick(MonoTime now) {
  m_sync->Tick(now);
  m_keeper->Tick(now);
  m_gate->Tick(now);
  return std::min({m_sync->NextDeadline(), m_keeper->NextDeadline(),
                   m_gate->NextDeadline(now)});
}

void EntryProcess::OnSubmit(Submission /*submission*/,
                            Revision /*revision*/,
                            Reply<SubmitReply> reply) {
  reply(NotRunReason::kNotOwner);
}

std::optional<JobAnswer> EntryProcess::OnFetch(const SubmissionKey& /*key*/) {
  return std::nullopt;
}

bool EntryProcess::OnCancel(const SubmissionKey& /*key*/) {
  return false;
}

void EntryProcess::OnStart(StartCommand command, Reply<StartReply> reply) {
  reply({command.m_task,
         command.m_attempt,
         TaskNotStarted{NotRunReason::kNotOwner},
         {}});
}

void EntryProcess::OnSettle(const SettleCommand& command,
                            Reply<StartReply> reply) {
  // An entry starts no task, so none can have started here.
  reply({command.m_task,
         command.m_attempt,
         TaskNotStarted{NotRunReason::kNeverStarted},
         {}});
}

void EntryProcess::OnCancelTask(const TaskRef& /*task*/) {}

CollectReply EntryProcess::OnCollect(const CollectCommand& /*command*/) {
  return {true, {}, {}};
}

ConfigChanges EntryProcess::OnConfig(Revision since) {
  return m_node->ChangesSince(since);
}

ProcessStatus EntryProcess::OnStatus(
    const std::vector<std::string>& /*subjects*/) {
  const MonoTime now = BootClock::now();
  ProcessStatus status;
  status.m_revision = m_node->applied_revision();
  const MonoTime fresh_until = m_node->FreshUntil(now);
  status.m_fresh_left =
      fresh_until > now ? fresh_until - now : Microseconds(-1);
  status.m_jobs = static_cast<uint32_t>(m_sessions);
  return status;
}

bool EntryProcess::OnLeave(const ProcessId& member) {
  m_keeper->OnLeaveRequest(BootClock::now(), member);
  m_node->Wake();
  return true;
}

bool EntryProcess::OnAdopt(const AdoptCommand& /*command*/) {
  return false;
}

}  // namespace comfreyshift
