#include "agent/departure.h"

#include <algorithm>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

constexpr Milliseconds kPoll{20};
constexpr Milliseconds kAdoptTimeout{2000};
constexpr Milliseconds kLeaveTimeout{1000};

// Time for the last replies to reach their callers.
constexpr Milliseconds kFlushTime{100};

// While other members leave too, plans fail until the table settles; making
// them at every tick cost more than all jobs of a short run.
constexpr Milliseconds kPlanInterval{200};

}  // namespace

Departure::Departure(ProcessNode& node,
                     Owner& owner,
                     Starter& starter,
                     MonoTime deadline,
                     std::function<void()> on_left)
    : m_node(node),
      m_owner(owner),
      m_starter(starter),
      m_deadline(deadline),
      m_on_left(std::move(on_left)) {}

void Departure::Begin(MonoTime now) {
  m_owner.StartDraining(now);
  m_starter.StartDraining(now);
  m_next_tick = now;
}

void Departure::Tick(MonoTime now, bool has_callers) {
  m_next_tick = now + kPoll;
  if (m_phase == Phase::kDone) {
    return;
  }
  if (now >= m_deadline) {
    LogEvent(LogLevel::kWarning, "departure", "deadline_passed",
             {{"records_handed_over", m_phase >= Phase::kLeaving}});
    Finish();
    return;
  }
  if (m_phase == Phase::kDraining && m_owner.drained() &&
      m_starter.running() == 0) {
    HandOver(now);
  }
  if (m_phase == Phase::kHandingOver && m_open_commands == 0) {
    if (m_all_adopted && m_planned_under == m_node.view().table_revision()) {
      m_phase = Phase::kLeaving;
    } else if (now >= m_plan_again_at) {
      HandOver(now);
    }
  }
  if (m_phase == Phase::kLeaving) {
    RequestLeave(now);
  }
  if (m_phase == Phase::kLeft && !has_callers && now >= m_end_at) {
    Finish();
  }
}

void Departure::HandOver(MonoTime now) {
  m_phase = Phase::kHandingOver;
  m_plan_again_at = now + kPlanInterval;
  m_planned_under = m_node.view().table_revision();
  m_all_adopted = true;
  std::vector<StartRecord> records = m_owner.Records();
  std::vector<StartRecord> started = m_starter.BeginHandover();
  std::move(started.begin(), started.end(), std::back_inserter(records));
  HandoverPlan plan = PlanHandover(*m_node.view().table(), m_node.self().m_id,
                                   std::move(records), m_refused);
  if (!plan.m_complete) {
    // Until another member can take the rest, this one adopts like any other
    // and does not leave.
    m_starter.AbortHandover();
    m_refused.clear();
    m_all_adopted = false;
    return;
  }
  m_open_commands = plan.m_commands.size();
  for (SendAdopt& send : plan.m_commands) {
    const Member* member = m_node.view().table()->Find(send.m_to);
    m_node.peers().Adopt(ToPeer(*member), send.m_command, now + kAdoptTimeout,
                         [self = shared_from_this(),
                          to = send.m_to](Result<bool, RpcError> result) {
                           self->OnAdopted(to, result && result.value());
                         });
  }
}

void Departure::OnAdopted(const ProcessId& by, bool accepted) {
  --m_open_commands;
  if (!accepted) {
    m_all_adopted = false;
    m_refused.insert(by);
  }
  m_node.Wake();
}

bool Departure::IsListed() const {
  return m_node.view().table()->Find(m_node.self().m_id) != nullptr;
}

void Departure::RequestLeave(MonoTime now) {
  if (!IsListed()) {
    m_phase = Phase::kLeft;
    m_end_at = now + kFlushTime;
    return;
  }
  if (m_planned_under != m_node.view().table_revision()) {
    // Owners have changed, and records may now be beside their owner.
    HandOver(now);
    return;
  }
  if (now < m_ask_again_at) {
    return;
  }
  m_ask_again_at = now + kLeaveTimeout;
  const std::vector<ProcessId> live = m_node.membership().LiveMembers();
  for (const Member& member : m_node.view().table()->m_members) {
    const bool is_live =
        std::find(live.begin(), live.end(), member.m_id) != live.end();
    if (member.m_role == MemberRole::kEntry && is_live) {
      m_node.peers().Leave(ToPeer(member), m_node.self().m_id, m_ask_again_at,
                           [](const Result<bool, RpcError>&) {});
    }
  }
}

void Departure::Finish() {
  m_phase = Phase::kDone;
  m_next_tick = MonoTime::max();
  if (m_on_left) {
    std::exchange(m_on_left, nullptr)();
  }
}

}  // namespace comfreyshift
