#include "bench/placement_bench_sim.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <set>
#include <tuple>

#include "bench/placement_bench_policies.h"

namespace comfreyshift::bench {
namespace {

constexpr Microseconds kPingPeriod = Milliseconds(200);
// Jobs at one owner whose next task is kept before the owner stops looking.
constexpr uint32_t kKeptJobs = 4;
constexpr Microseconds kWakePeriod = Milliseconds(10);
constexpr int64_t kLearnMinUs = 300'000;
constexpr int64_t kLearnMaxUs = 2'600'000;
constexpr Microseconds kReturnWindow = std::chrono::seconds(10);

enum class EventKind : uint8_t {
  kJob,             // A job reaches its owner.
  kStart,           // A start reaches an agent.
  kEnd,             // A task ends at its target.
  kDone,            // The reply of an ended task reaches the owner.
  kRefused,         // The reply of a refused start reaches the owner.
  kPingTimer,       // A process pings its next peer.
  kPing,            // A ping reaches a peer.
  kAck,             // An ack reaches the pinger.
  kLearnClosed,     // A process learns that the zone is closed.
  kLearnOpen,       // A process learns that the zone is open.
  kReserve,         // A reservation reaches an agent.
  kReserveRefused,  // A reservation comes back from a closed agent.
  kAsk,             // An agent with a free slot asks the owner for a task.
  kNone,            // The owner has no task left for the asking agent.
  kWake,            // An owner looks at its waiting tasks.
};

struct Event {
  MonoTime m_time{};
  uint64_t m_sequence = 0;
  EventKind m_kind = EventKind::kJob;
  uint32_t m_owner = 0;
  uint32_t m_target = 0;
  // A task, or a job for reservations.
  uint32_t m_index = 0;
  LoadReport m_load{};
  StartTerms m_terms{};
  Microseconds m_run_time{0};
  bool m_ok = true;

  bool operator>(const Event& other) const {
    return std::tie(m_time, m_sequence) >
           std::tie(other.m_time, other.m_sequence);
  }
};

struct Reservation {
  uint32_t m_owner = 0;
  uint32_t m_job = 0;
};

struct AgentState {
  StartQueue m_queue;
  std::deque<Reservation> m_reservations;
  uint32_t m_running = 0;
  bool m_open = true;
  std::vector<uint32_t> m_queued_of_owner = std::vector<uint32_t>(kTargets);
  std::vector<uint32_t> m_peers;
};

struct OwnerState {
  Policy m_policy;
  std::vector<bool> m_allowed;
  // Jobs with tasks that are not sent yet, by due time.
  std::set<std::pair<MonoTime, uint32_t>> m_waiting;
  bool m_wake_set = false;
};

struct JobState {
  uint32_t m_unfinished = 0;
  uint32_t m_next_reserved = 0;
  // Tasks not sent yet, the shortest by declaration first, and their due time.
  std::vector<uint32_t> m_unsent;
  MonoTime m_due;
  bool m_failed = false;
};

class Simulation {
 public:
  Simulation(const Deployment& deployment,
             const Scenario& scenario,
             const Workload& workload,
             const std::string& policy,
             uint64_t seed)
      : m_deployment(deployment),
        m_scenario(scenario),
        m_workload(workload),
        m_random(seed),
        m_agents(kTargets),
        m_jobs(workload.m_jobs.size()),
        m_owner_of_task(workload.m_tasks.size()) {
    for (uint32_t i = 0; i < kTargets; ++i) {
      m_owners.push_back(
          {MakePolicy(policy, deployment, m_random()), {}, {}, false});
      for (uint32_t target = 0; target < kTargets; ++target) {
        m_owners[i].m_allowed.push_back(MayPlace(i, target));
      }
    }
  }

  Outcome Run() {
    Prepare();
    while (m_jobs_left > 0) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_time;
      Apply(event);
    }
    const uint64_t needed = 2 * m_outcome.m_tasks_done;
    m_outcome.m_wasted = m_outcome.m_messages - needed;
    return std::move(m_outcome);
  }

 private:
  void Push(Microseconds delay, Event event) {
    event.m_time = m_now + delay;
    event.m_sequence = m_sequence++;
    m_events.push(event);
  }

  // Sends a message between an owner and an agent.
  void Send(Event event) {
    ++m_outcome.m_messages;
    Push(m_deployment.m_zone_delay, event);
  }

  void Prepare() {
    m_now = kStart;
    const Microseconds way_in =
        m_deployment.m_client_delay + m_deployment.m_zone_delay;
    for (uint32_t i = 0; i < m_workload.m_jobs.size(); ++i) {
      const Job& job = m_workload.m_jobs[i];
      m_jobs[i].m_unfinished = job.m_tasks;
      Event event{.m_kind = EventKind::kJob};
      event.m_owner = job.m_owner;
      event.m_index = i;
      Push(job.m_arrival - kStart + way_in, event);
    }
    m_jobs_left = m_workload.m_jobs.size();
    std::uniform_int_distribution<int64_t> phase(0, kPingPeriod.count());
    for (uint32_t i = 0; i < kTargets; ++i) {
      Push(Microseconds(phase(m_random)),
           {.m_kind = EventKind::kPingTimer, .m_owner = i});
    }
    if (m_scenario.m_disturbance == Disturbance::kZoneOut) {
      PrepareZone();
    }
  }

  void PrepareZone() {
    std::uniform_int_distribution<int64_t> learn(kLearnMinUs, kLearnMaxUs);
    for (uint32_t i = 0; i < kTargets; ++i) {
      Push(kDisturbedFrom - kStart + Microseconds(learn(m_random)),
           {.m_kind = EventKind::kLearnClosed, .m_owner = i});
      Push(kDisturbedUntil - kStart + Microseconds(learn(m_random)),
           {.m_kind = EventKind::kLearnOpen, .m_owner = i});
    }
  }

  void Apply(const Event& event) {
    switch (event.m_kind) {
      case EventKind::kJob:
        return OnJob(event);
      case EventKind::kStart:
        return OnStart(event);
      case EventKind::kEnd:
        return OnEnd(event);
      case EventKind::kDone:
        return OnDoneReply(event);
      case EventKind::kRefused:
        return OnRefused(event);
      case EventKind::kPingTimer:
        return OnPingTimer(event);
      case EventKind::kPing:
        return Push(m_deployment.m_zone_delay,
                    {.m_kind = EventKind::kAck,
                     .m_owner = event.m_owner,
                     .m_target = event.m_target,
                     .m_load = LoadOf(event.m_target)});
      case EventKind::kAck:
        OnLoad(m_owners[event.m_owner].m_policy, m_now, event.m_target,
               event.m_load);
        return Dispatch(event.m_owner);
      case EventKind::kLearnClosed:
        return OnLearn(event.m_owner, false);
      case EventKind::kLearnOpen:
        return OnLearn(event.m_owner, true);
      case EventKind::kReserve:
        return OnReserve(event);
      case EventKind::kReserveRefused:
        return Reserve(event.m_owner, event.m_index);
      case EventKind::kAsk:
        return OnAsk(event);
      case EventKind::kNone:
        --m_agents[event.m_target].m_running;
        return FillSlots(event.m_target);
      case EventKind::kWake:
        m_owners[event.m_owner].m_wake_set = false;
        return Dispatch(event.m_owner);
    }
  }

  LoadReport LoadOf(uint32_t target) const {
    const AgentState& agent = m_agents[target];
    const size_t queued = agent.m_queue.size() + agent.m_reservations.size();
    return {agent.m_running, static_cast<uint32_t>(queued), kSlots,
            std::nullopt};
  }

  // The load on the reply to a start of `owner`.
  LoadReport LoadFor(uint32_t owner, uint32_t target) const {
    LoadReport load = LoadOf(target);
    load.m_queued_of_owner = m_agents[target].m_queued_of_owner[owner];
    return load;
  }

  // Owner side.

  void OnJob(const Event& event) {
    const Job& job = m_workload.m_jobs[event.m_index];
    OwnerState& owner = m_owners[event.m_owner];
    const bool reserves =
        std::holds_alternative<ReservationPolicy>(owner.m_policy);
    for (uint32_t i = 0; i < job.m_tasks; ++i) {
      m_owner_of_task[job.m_first_task + i] = event.m_owner;
      if (reserves) {
        Reserve(event.m_owner, event.m_index);
        Reserve(event.m_owner, event.m_index);
      } else {
        Enqueue(event.m_owner, job.m_first_task + i);
      }
    }
    Dispatch(event.m_owner);
  }

  void Enqueue(uint32_t owner, uint32_t task) {
    const uint32_t job = m_workload.m_tasks[task].m_job;
    Unlist(owner, job);
    auto& unsent = m_jobs[job].m_unsent;
    const auto shorter = [this](uint32_t a, uint32_t b) {
      return m_workload.m_tasks[a].m_declared <
             m_workload.m_tasks[b].m_declared;
    };
    unsent.insert(std::upper_bound(unsent.begin(), unsent.end(), task, shorter),
                  task);
    List(owner, job);
  }

  void Unlist(uint32_t owner, uint32_t job) {
    m_owners[owner].m_waiting.erase({m_jobs[job].m_due, job});
  }

  void List(uint32_t owner, uint32_t job) {
    JobState& state = m_jobs[job];
    if (!state.m_unsent.empty()) {
      state.m_due = Due(m_owners[owner].m_policy,
                        m_workload.m_jobs[job].m_arrival, state.m_unfinished);
      m_owners[owner].m_waiting.insert({state.m_due, job});
    }
  }

  PlacementRequest RequestOf(const OwnerState& owner,
                             uint32_t job,
                             size_t at) const {
    PlacementRequest request;
    request.m_allowed = &owner.m_allowed;
    const JobState& state = m_jobs[job];
    request.m_declared_run_time =
        m_workload.m_tasks[state.m_unsent[at]].m_declared;
    request.m_tasks_left = static_cast<uint32_t>(state.m_unsent.size());
    return request;
  }

  // Sends what the policy lets go, first by due time. A job whose next task is
  // kept lets later jobs pass.
  void Dispatch(uint32_t index) {
    OwnerState& owner = m_owners[index];
    const auto waiting =
        std::vector(owner.m_waiting.begin(), owner.m_waiting.end());
    uint32_t kept = 0;
    for (const auto& [due, job] : waiting) {
      while (!m_jobs[job].m_unsent.empty() && SendNext(index, job)) {
      }
      kept += m_jobs[job].m_unsent.empty() ? 0 : 1;
      if (kept == kKeptJobs) {
        break;
      }
    }
    if (!owner.m_waiting.empty() && !owner.m_wake_set) {
      owner.m_wake_set = true;
      Push(kWakePeriod, {.m_kind = EventKind::kWake, .m_owner = index});
    }
  }

  // Sends the longest task of the job that the policy lets go.
  bool SendNext(uint32_t index, uint32_t job) {
    OwnerState& owner = m_owners[index];
    auto& unsent = m_jobs[job].m_unsent;
    size_t at = unsent.size() - 1;
    std::optional<uint32_t> target;
    // A policy that keeps a task may still let a shorter one go.
    while (true) {
      target = Choose(owner.m_policy, m_now, RequestOf(owner, job, at));
      if (target || at == 0) {
        break;
      }
      at /= 2;
    }
    if (!target) {
      return false;
    }
    const uint32_t task = unsent[at];
    const StartTerms terms =
        TermsOf(owner.m_policy, m_now, *target, m_jobs[job].m_due);
    Unlist(index, job);
    unsent.erase(unsent.begin() + static_cast<ptrdiff_t>(at));
    List(index, job);
    OnSent(owner.m_policy, m_now, *target);
    Send({.m_kind = EventKind::kStart,
          .m_owner = index,
          .m_target = *target,
          .m_index = task,
          .m_terms = terms});
    return true;
  }

  void OnDoneReply(const Event& event) {
    Policy& policy = m_owners[event.m_owner].m_policy;
    OnDone(policy, m_now, event.m_target, event.m_run_time, event.m_ok,
           m_workload.m_tasks[event.m_index].m_declared);
    OnLoad(policy, m_now, event.m_target, event.m_load);
    FinishTask(event);
    Dispatch(event.m_owner);
  }

  void FinishTask(const Event& event) {
    const Task& task = m_workload.m_tasks[event.m_index];
    const Job& job = m_workload.m_jobs[task.m_job];
    JobState& state = m_jobs[task.m_job];
    ++m_outcome.m_tasks_done;
    state.m_failed = state.m_failed || !event.m_ok;
    const Microseconds response = m_now + m_deployment.m_zone_delay +
                                  m_deployment.m_client_delay - job.m_arrival;
    const bool measured = job.m_arrival >= kMeasuredFrom && !state.m_failed;
    if (measured) {
      m_outcome.m_task_ratios.push_back(
          static_cast<double>(response.count()) /
          static_cast<double>((task.m_work + PathDelay(m_deployment)).count()));
    }
    if (--state.m_unfinished > 0) {
      return;
    }
    --m_jobs_left;
    m_outcome.m_failed_jobs += state.m_failed ? 1 : 0;
    if (measured) {
      m_outcome.m_job_sizes.push_back(job.m_tasks);
      m_outcome.m_job_ratios.push_back(
          static_cast<double>(response.count()) /
          static_cast<double>(job.m_ideal.count()));
    }
  }

  void OnRefused(const Event& event) {
    Policy& policy = m_owners[event.m_owner].m_policy;
    OnNotStarted(policy, m_now, event.m_target);
    OnLoad(policy, m_now, event.m_target, event.m_load);
    Enqueue(event.m_owner, event.m_index);
    Dispatch(event.m_owner);
  }

  void OnPingTimer(const Event& event) {
    auto& peers = m_agents[event.m_owner].m_peers;
    if (peers.empty()) {
      for (uint32_t i = 0; i < kTargets; ++i) {
        if (i != event.m_owner) {
          peers.push_back(i);
        }
      }
      std::shuffle(peers.begin(), peers.end(), m_random);
    }
    Push(m_deployment.m_zone_delay, {.m_kind = EventKind::kPing,
                                     .m_owner = event.m_owner,
                                     .m_target = peers.back()});
    peers.pop_back();
    Push(kPingPeriod, event);
  }

  // Takes the new state of the zone at one process: its owner and its agent.
  void OnLearn(uint32_t process, bool open) {
    OwnerState& owner = m_owners[process];
    for (uint32_t target = 0; target < kTargets; ++target) {
      if (RackOf(target) == kClosedZone) {
        owner.m_allowed[target] = open && MayPlace(process, target);
      }
    }
    if (RackOf(process) == kClosedZone) {
      SetAgentOpen(process, open);
    }
    Dispatch(process);
  }

  // Agent side.

  void SetAgentOpen(uint32_t target, bool open) {
    AgentState& agent = m_agents[target];
    agent.m_open = open;
    if (open) {
      return;
    }
    while (const auto task = agent.m_queue.Pop()) {
      --agent.m_queued_of_owner[m_owner_of_task[*task]];
      Refuse(target, static_cast<uint32_t>(*task));
    }
    for (const Reservation& reservation : agent.m_reservations) {
      Send({.m_kind = EventKind::kReserveRefused,
            .m_owner = reservation.m_owner,
            .m_index = reservation.m_job});
    }
    agent.m_reservations.clear();
  }

  void Refuse(uint32_t target, uint32_t task) {
    Send({.m_kind = EventKind::kRefused,
          .m_owner = m_owner_of_task[task],
          .m_target = target,
          .m_index = task,
          .m_load = LoadFor(m_owner_of_task[task], target)});
  }

  void OnStart(const Event& event) {
    AgentState& agent = m_agents[event.m_target];
    const uint32_t tasks =
        agent.m_running + static_cast<uint32_t>(agent.m_queue.size());
    if (!agent.m_open || tasks >= kSlots + event.m_terms.m_max_queue) {
      return Refuse(event.m_target, event.m_index);
    }
    agent.m_queue.Push(event.m_index, event.m_terms.m_due);
    ++agent.m_queued_of_owner[event.m_owner];
    FillSlots(event.m_target);
    if (RackOf(event.m_target) == kClosedZone && m_now >= kDisturbedUntil &&
        m_now < kDisturbedUntil + kReturnWindow) {
      m_outcome.m_return_queue =
          std::max(m_outcome.m_return_queue,
                   static_cast<uint32_t>(agent.m_queue.size()));
    }
  }

  void FillSlots(uint32_t target) {
    AgentState& agent = m_agents[target];
    while (agent.m_open && agent.m_running < kSlots) {
      if (const auto task = agent.m_queue.Pop()) {
        ++agent.m_running;
        --agent.m_queued_of_owner[m_owner_of_task[*task]];
        Run(target, static_cast<uint32_t>(*task));
      } else if (!agent.m_reservations.empty()) {
        // The slot stays taken until the owner answers.
        ++agent.m_running;
        const Reservation reservation = agent.m_reservations.front();
        agent.m_reservations.pop_front();
        Send({.m_kind = EventKind::kAsk,
              .m_owner = reservation.m_owner,
              .m_target = target,
              .m_index = reservation.m_job});
      } else {
        return;
      }
    }
  }

  void Run(uint32_t target, uint32_t task) {
    const bool fails = target == kFailingTarget &&
                       Disturbed(m_scenario, Disturbance::kFailing, m_now);
    const Microseconds run = fails ? kFailTime
                                   : RunTimeAt(m_deployment, m_scenario,
                                               m_workload, task, target, m_now);
    CountStart(target);
    Push(run, {.m_kind = EventKind::kEnd,
               .m_owner = m_owner_of_task[task],
               .m_target = target,
               .m_index = task,
               .m_run_time = run,
               .m_ok = !fails});
  }

  void CountStart(uint32_t target) {
    constexpr Microseconds kNotice = std::chrono::seconds(5);
    if (m_now >= kDisturbedFrom + kNotice && m_now < kDisturbedUntil) {
      ++m_outcome.m_starts_while_failing;
      m_outcome.m_starts_at_failing += target == kFailingTarget ? 1 : 0;
    }
  }

  void OnEnd(const Event& event) {
    --m_agents[event.m_target].m_running;
    if (event.m_ok && m_now >= kDisturbedFrom && m_now < kZoneWindowUntil) {
      m_outcome.m_work_done += m_workload.m_tasks[event.m_index].m_work;
    }
    FillSlots(event.m_target);
    Event reply = event;
    reply.m_kind = EventKind::kDone;
    reply.m_load = LoadFor(event.m_owner, event.m_target);
    Send(reply);
  }

  // Reservations.

  void Reserve(uint32_t owner, uint32_t job) {
    PlacementRequest request;
    request.m_allowed = &m_owners[owner].m_allowed;
    const auto target = Choose(m_owners[owner].m_policy, m_now, request);
    Send({.m_kind = EventKind::kReserve,
          .m_owner = owner,
          .m_target = *target,
          .m_index = job});
  }

  void OnReserve(const Event& event) {
    AgentState& agent = m_agents[event.m_target];
    if (!agent.m_open) {
      Event refusal = event;
      refusal.m_kind = EventKind::kReserveRefused;
      return Send(refusal);
    }
    agent.m_reservations.push_back({event.m_owner, event.m_index});
    FillSlots(event.m_target);
  }

  void OnAsk(const Event& event) {
    const Job& job = m_workload.m_jobs[event.m_index];
    JobState& state = m_jobs[event.m_index];
    if (state.m_next_reserved == job.m_tasks) {
      return Send({.m_kind = EventKind::kNone,
                   .m_owner = event.m_owner,
                   .m_target = event.m_target});
    }
    const uint32_t task = job.m_first_task + state.m_next_reserved++;
    // The slot that the agent holds passes to the task.
    Event start{.m_kind = EventKind::kStart,
                .m_owner = event.m_owner,
                .m_target = event.m_target,
                .m_index = task};
    start.m_terms.m_due = MonoTime::min();
    Send(start);
    Push(m_deployment.m_zone_delay,
         {.m_kind = EventKind::kNone, .m_target = event.m_target});
  }

  const Deployment& m_deployment;
  const Scenario& m_scenario;
  const Workload& m_workload;
  std::mt19937_64 m_random;
  MonoTime m_now;
  uint64_t m_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<AgentState> m_agents;
  std::vector<OwnerState> m_owners;
  std::vector<JobState> m_jobs;
  std::vector<uint32_t> m_owner_of_task;
  size_t m_jobs_left = 0;
  Outcome m_outcome;
};

}  // namespace

Outcome RunOwners(const Deployment& deployment,
                  const Scenario& scenario,
                  const Workload& workload,
                  const std::string& policy,
                  uint64_t seed) {
  return Simulation(deployment, scenario, workload, policy, seed).Run();
}

}  // namespace comfreyshift::bench
