#include "tests/dispatch/cluster_simulation.h"

#include <algorithm>
#include <utility>

namespace comfreyshift {

namespace {

constexpr Milliseconds kFreshness = std::chrono::seconds(5);
constexpr Milliseconds kRetention = std::chrono::minutes(10);
constexpr Milliseconds kRefreshInterval{500};
constexpr Milliseconds kResubmitInterval{400};
constexpr Milliseconds kCallCheckInterval{300};
constexpr WallTime kStartWallTime(Milliseconds(1'796'378'400'000));
constexpr uint32_t kPartitions = 7;

std::string ExpectedAnswer(const TaskRef& task) {
  return task.m_key.ToString() + "#" + std::to_string(task.m_index);
}

}  // namespace

ClusterSimulation::ClusterSimulation(uint64_t seed,
                                     const std::vector<std::string>& racks)
    : m_random(seed), m_now(std::chrono::hours(1)), m_start_time(m_now) {
  Inventory inventory;
  inventory.m_clients["c0"] = {};
  inventory.m_clients["c1"] = {};
  inventory.m_requests["r"] = {};
  inventory.m_rules["c0"] = {"c0", {"*"}};
  inventory.m_rules["c1"] = {"c1", {"*"}};
  m_configs.push_back({MakeEmptyTable(kPartitions), {}, m_now});
  TableChange change;
  for (size_t i = 0; i < racks.size(); ++i) {
    Member member;
    member.m_id = {"a" + std::to_string(i), 1};
    member.m_rack = racks[i];
    member.m_zone = "z" + std::to_string(i % 2);
    member.m_worker = "w" + std::to_string(i);
    member.m_target = "t" + std::to_string(i);
    inventory.m_zones[member.m_zone] = {};
    inventory.m_targets[member.m_target].m_zone = member.m_zone;
    change.m_joining.push_back(member);
  }
  m_configs.back().m_inventory = inventory;
  Change(change);
  for (const Member& member : change.m_joining) {
    StartProcess(member);
  }
  ScheduleAt(m_now + kResubmitInterval, [this] { ResubmitUnanswered(); });
}

Milliseconds ClusterSimulation::Delay() {
  if (m_faults && Chance(5)) {
    return Milliseconds(Random(4000));
  }
  return Milliseconds(1 + Random(20));
}

WallTime ClusterSimulation::WallTimeOf(const Process& process) const {
  return kStartWallTime + process.m_clock_error +
         std::chrono::duration_cast<Milliseconds>(m_now - m_start_time);
}

ClusterSimulation::Process* ClusterSimulation::Find(const ProcessId& id) {
  const auto found = m_processes.find(id);
  return found == m_processes.end() || !found->second.m_alive ? nullptr
                                                              : &found->second;
}

ClusterSimulation::Process* ClusterSimulation::PickMember(uint32_t pick) {
  const auto& members = current().m_table.m_members;
  return members.empty() ? nullptr : Find(members[pick % members.size()].m_id);
}

bool ClusterSimulation::Connected(const ProcessId& from, const ProcessId& to) {
  const auto sender = m_processes.find(from);
  const Process* receiver = Find(to);
  return sender != m_processes.end() && receiver != nullptr &&
         sender->second.m_network_side == receiver->m_network_side;
}

void ClusterSimulation::ScheduleAt(MonoTime at, Callback callback) {
  m_events.push({at, m_next_id++, std::move(callback)});
}

void ClusterSimulation::RunOnProcess(
    const ProcessId& id,
    const std::function<void(Process&)>& callback) {
  Process* process = Find(id);
  if (process == nullptr) {
    return;
  }
  if (process->m_paused) {
    ScheduleAt(m_now + Milliseconds(50),
               [=, this] { RunOnProcess(id, callback); });
    return;
  }
  callback(*process);
  TickProcess(*process);
}

void ClusterSimulation::Send(const ProcessId& from,
                             const ProcessId& to,
                             const std::shared_ptr<Call>& call,
                             const std::function<void(Process&)>& callback) {
  const int copies = m_faults && Chance(10) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    ScheduleAt(m_now + Delay(), [=, this] {
      if (Connected(from, to)) {
        RunOnProcess(to, callback);
      } else if (call != nullptr) {
        call->m_broken = true;
      }
    });
  }
}

void ClusterSimulation::StartProcess(Member member) {
  const ProcessId id = member.m_id;
  Process& process = m_processes[id];
  OwnerConfig owner;
  owner.m_seed = m_random();
  StarterConfig starter;
  starter.m_target = member.m_target;
  starter.m_slots = 2;
  starter.m_max_queue = 6;
  process.m_owner = std::make_unique<Owner>(owner, id);
  process.m_starter = std::make_unique<Starter>(starter, id);
  // Any two clocks differ by at most the allowed clock error.
  process.m_clock_error = Milliseconds(Random(4800)) - Milliseconds(2400);
  process.m_member = std::move(member);
  Refresh(id);
}

void ClusterSimulation::Stop(Process& process, bool clean) {
  if (!process.m_alive) {
    return;
  }
  process.m_alive = false;
  if (!clean) {
    RecordLoss(process.m_member);
  }
  Member next = process.m_member;
  ++next.m_id.m_incarnation;
  m_waiting_to_join.push_back(next);
}

void ClusterSimulation::RecordLoss(const Member& member) {
  if (!m_lost.insert(member.m_id).second) {
    return;
  }
  m_lost_racks.insert(member.m_rack);
  m_first_loss = std::min(m_first_loss, m_now);
  m_last_loss = m_now;
}

void ClusterSimulation::AddConfig(PartitionTable table, Inventory inventory) {
  std::set<std::string> racks;
  for (const Member& member : table.m_members) {
    racks.insert(member.m_rack);
  }
  m_had_one_rack = m_had_one_rack || racks.size() < 2;
  const Milliseconds wait(Chance(10) ? Random(10000) : Random(2000));
  const MonoTime confirmed =
      std::max(m_now + wait, m_configs.back().m_confirmed_at);
  m_configs.push_back({std::move(table), std::move(inventory), confirmed});
}

void ClusterSimulation::Change(const TableChange& change) {
  const Milliseconds error = Milliseconds(Random(4800)) - Milliseconds(2400);
  const WallTime wall =
      kStartWallTime + error +
      std::chrono::duration_cast<Milliseconds>(m_now - m_start_time);
  for (const ProcessId& dead : change.m_dead) {
    RecordLoss(*current().m_table.Find(dead));
  }
  AddConfig(ApplyChange(current().m_table, change, wall, kRetention),
            current().m_inventory);
}

// Updates the configuration and the freshness proof of one process, within the
// guarantees of section 5 of the design page: the proof of a revision is valid
// until F, the maximum age of a freshness proof, after the next revision was
// confirmed.
void ClusterSimulation::Refresh(const ProcessId& id) {
  RunOnProcess(id, [this, id](Process& process) {
    ScheduleAt(m_now + kRefreshInterval, [this, id] { Refresh(id); });
    const Revision last = m_configs.size() - 1;
    const bool update = process.m_network_side == 0 &&
                        process.m_revision != last &&
                        (process.m_revision == 0 || !m_faults || Chance(60));
    if (update) {
      process.m_revision = last;
      if (current().m_table.Find(id) == nullptr) {
        Stop(process, process.m_leaving);
        return;
      }
      const auto table =
          std::make_shared<const PartitionTable>(current().m_table);
      const auto inventory =
          std::make_shared<const Inventory>(current().m_inventory);
      process.m_starter->SetTable(table);
      process.m_starter->SetInventory(inventory);
      process.m_owner->SetInventory(m_now, inventory);
      process.m_owner->SetTable(m_now, WallTimeOf(process), last, table);
    }
    if (process.m_revision == last ||
        m_configs[process.m_revision + 1].m_confirmed_at > m_now) {
      process.m_owner->SetFreshUntil(m_now + kFreshness);
      process.m_starter->SetFreshUntil(m_now + kFreshness);
    }
    Revision confirmed = process.m_revision;
    while (confirmed > 0 && m_configs[confirmed].m_confirmed_at > m_now) {
      --confirmed;
    }
    if (process.m_network_side == 0) {
      process.m_owner->OnRevisionConfirmed(m_now, confirmed);
    }
  });
}

void ClusterSimulation::TickProcess(Process& process) {
  process.m_last_tick = m_now;
  process.m_owner->Tick(m_now, WallTimeOf(process));
  process.m_starter->Tick(m_now, WallTimeOf(process));
  for (const OwnerAction& action : process.m_owner->TakeActions()) {
    std::visit([&](const auto& item) { PerformAction(process, item); }, action);
  }
  for (const StarterAction& action : process.m_starter->TakeActions()) {
    std::visit([&](const auto& item) { PerformAction(process, item); }, action);
  }
}

void ClusterSimulation::Advance(Milliseconds time) {
  const MonoTime until = m_now + time;
  while (m_now < until) {
    MonoTime next = m_events.empty() ? until : m_events.top().m_at;
    Process* due = nullptr;
    for (auto& [id, process] : m_processes) {
      if (!process.m_alive || process.m_paused) {
        continue;
      }
      const MonoTime deadline = std::min(process.m_owner->NextDeadline(),
                                         process.m_starter->NextDeadline());
      const MonoTime tick =
          std::max(deadline, process.m_last_tick + Milliseconds(1));
      if (tick < next) {
        next = tick;
        due = &process;
      }
    }
    if (next >= until) {
      m_now = until;
      return;
    }
    m_now = std::max(m_now, next);
    if (due != nullptr) {
      TickProcess(*due);
      continue;
    }
    const Callback callback = m_events.top().m_callback;
    m_events.pop();
    callback();
  }
}

std::shared_ptr<ClusterSimulation::Call> ClusterSimulation::StartCall(
    const Process& from,
    const ProcessId& to,
    const std::function<void(Process&)>& lost) {
  auto call = std::make_shared<Call>();
  call->m_from = from.m_member.m_id;
  call->m_to = to;
  WatchCall(call, lost);
  return call;
}

// Sends a command to which a starter replies with its token.
template <class Command>
void ClusterSimulation::SendTaskCommand(
    const Process& from,
    const ProcessId& to,
    const Command& command,
    const std::function<void(Process&, ReplyToken, const Command&)>& callback) {
  const TaskRef task = command.m_task;
  const auto call = StartCall(from, to, [=, this](Process& owner) {
    owner.m_owner->OnReplyLost(m_now, to, task);
  });
  call->m_key = task.m_key;
  m_calls.push_back(call);
  Send(call->m_from, to, call, [=, this](Process& agent) {
    const ReplyToken token = m_next_id++;
    m_tokens[token] = call;
    callback(agent, token, command);
  });
}

// Breaks a call at random, and always if its two processes are not connected.
void ClusterSimulation::WatchCall(const std::shared_ptr<Call>& call,
                                  const std::function<void(Process&)>& lost) {
  ScheduleAt(m_now + kCallCheckInterval, [=, this] {
    if (call->m_ended || Find(call->m_from) == nullptr) {
      return;
    }
    call->m_broken = call->m_broken || !Connected(call->m_from, call->m_to) ||
                     (m_faults && Chance(8));
    if (!call->m_broken) {
      WatchCall(call, lost);
      return;
    }
    RunOnProcess(call->m_from, [=](Process& process) {
      if (!call->m_ended) {
        call->m_ended = true;
        lost(process);
      }
    });
  });
}

void ClusterSimulation::PerformAction(Process& process,
                                      const SendStart& action) {
  SendTaskCommand<StartCommand>(
      process, action.m_to, action.m_command,
      [this](Process& agent, ReplyToken token, const StartCommand& command) {
        agent.m_starter->OnStart(m_now, WallTimeOf(agent), token, command);
      });
}

void ClusterSimulation::PerformAction(Process& process,
                                      const SendSettle& action) {
  SendTaskCommand<SettleCommand>(
      process, action.m_to, action.m_command,
      [this](Process& agent, ReplyToken token, const SettleCommand& command) {
        agent.m_starter->OnSettle(m_now, WallTimeOf(agent), token, command);
      });
}

void ClusterSimulation::PerformAction(Process& process,
                                      const SendCancel& action) {
  Send(process.m_member.m_id, action.m_to, nullptr, [=, this](Process& agent) {
    agent.m_starter->OnCancel(m_now, action.m_task);
  });
}

void ClusterSimulation::PerformAction(Process& process,
                                      const SendCollect& action) {
  const auto call = StartCall(process, action.m_to, [=, this](Process& owner) {
    owner.m_owner->OnCollectLost(m_now, action.m_to, action.m_command);
  });
  Send(call->m_from, call->m_to, call, [=, this](Process& agent) {
    CollectReply reply = agent.m_starter->OnCollect(m_now, action.m_command);
    if (reply.m_accepted) {
      agent.m_owner->OnCollect(m_now, action.m_command, reply);
    }
    Send(call->m_to, call->m_from, call, [=, this](Process& owner) {
      call->m_ended = true;
      owner.m_owner->OnCollectReply(m_now, WallTimeOf(owner), action.m_to,
                                    action.m_command, reply);
    });
  });
}

void ClusterSimulation::PerformAction(Process& process,
                                      const SendAdopt& action) {
  const uint64_t id = action.m_command.m_id;
  const auto call = StartCall(process, action.m_to, [=, this](Process& owner) {
    owner.m_owner->OnAdoptDone(m_now, id, false);
  });
  Send(call->m_from, call->m_to, call, [=, this](Process& agent) {
    const bool ok =
        agent.m_starter->OnAdopt(WallTimeOf(agent), action.m_command);
    Send(call->m_to, call->m_from, call, [=, this](Process& owner) {
      call->m_ended = true;
      owner.m_owner->OnAdoptDone(m_now, id, ok);
    });
  });
}

void ClusterSimulation::PerformAction(Process& process,
                                      const JobEnded& action) {
  CheckAnswer(action.m_key, action.m_answer);
  if (process.m_network_side == 0) {
    m_jobs.at(action.m_key).m_answered = true;
  }
}

void ClusterSimulation::PerformAction(Process& process,
                                      const JobDropped& action) {
  m_jobs.at(action.m_key).m_attached.erase(process.m_member.m_id);
}

void ClusterSimulation::PerformAction(Process& process,
                                      const ReplyStart& action) {
  const auto call = m_tokens.at(action.m_token);
  const ProcessId from = process.m_member.m_id;
  Send(from, call->m_from, call, [=, this](Process& owner) {
    call->m_ended = true;
    // A reply that arrives after the answer "unknown" does not count.
    call->m_replied = call->m_replied || !m_jobs.at(call->m_key).m_unknown;
    owner.m_owner->OnStartReply(m_now, from, action.m_reply);
  });
}

void ClusterSimulation::PerformAction(Process& process, const RunTask& action) {
  const ProcessId id = process.m_member.m_id;
  const auto end = [=, this](const TaskOutcome& outcome) {
    RunOnProcess(id, [=, this](Process& agent) {
      agent.m_starter->OnTaskEnded(m_now, action.m_task, outcome);
    });
  };
  if (!process.m_starter->MayStart(m_now, action.m_client)) {
    process.m_starter->OnTaskEnded(m_now, action.m_task,
                                   TaskNotStarted{NotRunReason::kNotFresh});
    ScheduleAt(m_now, [=, this] { RunOnProcess(id, [](Process&) {}); });
    return;
  }
  if (m_faults && Chance(4)) {
    ScheduleAt(m_now + Milliseconds(1),
               [=] { end(TaskNotStarted{NotRunReason::kTargetUnreachable}); });
    return;
  }
  CheckStart(process, action);
  const Milliseconds run(50 + Random(800));
  if (m_faults && Chance(1)) {
    m_jobs.at(action.m_task.m_key).m_injected_loss = true;
    ScheduleAt(m_now + run, [=] { end(TaskMayHaveRun{}); });
    return;
  }
  const uint32_t status = m_faults && Chance(2) ? 500 : 200;
  ScheduleAt(m_now + run, [=] {
    end(TaskDone{{status, ExpectedAnswer(action.m_task)}, run});
  });
}

}  // namespace comfreyshift
