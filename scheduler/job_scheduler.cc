#include "scheduler/job_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreyshift {

namespace {

// Interval of heartbeats to agents with runs of this entry; well below
// kEntryHeartbeatTimeout. A StartRun counts as a heartbeat.
constexpr Milliseconds kEntryHeartbeatInterval{100};
// Average time between two statuses, over all agents in the watch set;
// kMaxStatusInterval limits the interval of one agent.
constexpr Microseconds kStatusSpacing{4000};
constexpr Milliseconds kMaxStatusInterval{100};
// Status interval of an agent that only has runs of this entry. It also sends a
// status with each report.
constexpr Milliseconds kRunStatusInterval{150};
// A status interval is asked for anew once it is off by this factor.
constexpr double kIntervalTolerance = 1.5;
// How often the scheduler checks which heartbeats are due.
constexpr Milliseconds kHeartbeatCheckInterval{20};
// How often the scheduler checks for runs of agents that have fallen silent.
// The check visits all agents.
constexpr Milliseconds kLossCheckInterval{20};
// A connection on which no status arrives may be dead without ever being
// closed.
constexpr Milliseconds kSilenceTimeout{450};
// Interval of heartbeats to agents in the watch set that have no runs of this
// entry.
constexpr Milliseconds kWatchedHeartbeatInterval{1000};
// Interval of heartbeats and statuses of the other agents. It grows with their
// number, so that they cost an entry at most one message each way in
// kIdleSpacing.
constexpr Microseconds kIdleSpacing{12'500};
constexpr Milliseconds kMinIdleInterval{1000};
constexpr Milliseconds kMaxIdleInterval{30'000};
// After a gap this long between ticks the entry's heartbeats have expired, so
// agents have stopped its runs.
constexpr Milliseconds kFreezeThreshold = kEntryHeartbeatTimeout;
// After this share of its objective a job may be placed where it misses it, if
// the fleet has capacity to spare, and is rejected if no runner accepts work.
constexpr double kOnTimeWaitFraction = 0.25;
// Clients still value a response within this multiple of the objective.
constexpr double kUsefulObjectives = 3.0;
// An agent that was restarted together with this entry accepts work only after
// its runner's next heartbeat (1.5 s) and the leases of earlier runs (1 s).
// Until then jobs wait for it.
constexpr Milliseconds kStartupTime{3000};
// Above the longest accepted estimate, 1e18 us. Its sum with the longest target
// latency, also 1e18 us, and the clock fits.
constexpr double kMaxScaledUs = 4e18;
// How long a run may wait for capacity at an agent that another entry has
// filled meanwhile.
constexpr Milliseconds kAgentQueueTime{30};
// What one tick may do at most, so that the process hands back the processor:
// tasks placed, and agents looked at.
constexpr uint64_t kMaxPlacementsPerTick = 256;
constexpr uint64_t kMaxVisitsPerTick = 40'000;
// The tasks of wide jobs start after others that are due so much later.
constexpr Microseconds kWideJobHandicap = std::chrono::hours(1);
// Jobs take turns of so many tasks.
constexpr size_t kTasksPerTurn = 32;
// Steps of a job that are compared with the known runners when it arrives.
constexpr size_t kMaxCheckedSteps = 64;
// Estimates are rough: a task may take as little as this share of its own.
constexpr double kMinRunTimeFactor = 0.5;
// Retry delay of a job that is rejected because this entry stops. Other entries
// take new jobs meanwhile.
constexpr Milliseconds kRetryElsewhereAfter{1000};

// This long after an agent's last message our runs on it have ended: the agent
// stops them once our heartbeats expire, or else its runner kills them when the
// lease expires.
constexpr Microseconds kLostAgentTimeout =
    kEntryHeartbeatTimeout +
    std::chrono::duration_cast<Microseconds>(kLeaseDuration *
                                             kRunnerClockDriftFactor) +
    2 * kMaxStopTime;

// Returns the rank of a run among the waiting runs of all entries at an agent,
// lowest first: by priority, then by the time left to the objective. Runs wait
// there for kAgentQueueTime at most, so none is starved by that.
int64_t StartOrder(int32_t priority, Microseconds time_left) {
  constexpr int64_t kPriorityStep = int64_t{1} << 40;
  constexpr int32_t kMaxPriority = 1 << 20;
  return std::clamp(priority, 0, kMaxPriority) * kPriorityStep +
         std::clamp(time_left.count(), -kPriorityStep / 2, kPriorityStep / 2);
}

Microseconds Scale(Microseconds time, double factor) {
  // Converting a double that does not fit into int64_t is undefined behaviour.
  return Microseconds(static_cast<int64_t>(
      std::min(static_cast<double>(time.count()) * factor, kMaxScaledUs)));
}

TaskKey KeyOf(const JobRequest& request, const JobTasks::Position& task) {
  return {request.m_id, task.m_step, task.m_index};
}

JobRejected RejectionByStop(MonoTime now) {
  return {RejectionReason::kStopping, now + kRetryElsewhereAfter};
}

}  // namespace

JobScheduler::JobScheduler(uint64_t first_run_number,
                           uint64_t seed,
                           MonoTime now)
    : m_agents(seed), m_first_run_number(first_run_number), m_created_at(now) {}

JobHandle JobScheduler::Submit(JobRequest request,
                               const QueueConfig& queue,
                               MonoTime now) {
  const JobHandle handle = m_next_job++;
  Job& job = m_jobs[handle];
  job.m_request = std::move(request);
  job.m_queue = queue;
  job.m_received_at = now;
  m_backlogs.try_emplace(queue.m_service);
  for (const Step& step : job.m_request.m_steps) {
    job.m_expected =
        std::max(job.m_expected,
                 m_run_times.Expect(queue.m_name, step.m_estimated_run_time));
  }
  job.m_tasks = JobTasks(job.m_request.m_steps);
  for (const Step& step : job.m_request.m_steps) {
    job.m_waiting_work +=
        step.m_count * ExpectedWork(step.m_demand, job.m_expected);
  }
  job.m_margin = m_run_times.Margin(queue.m_name);
  const Microseconds objective =
      Scale(job.m_expected, queue.m_stretch) + queue.m_target_latency;
  job.m_due_at = now + objective;
  job.m_may_be_late_at = now + Scale(objective, kOnTimeWaitFraction);
  job.m_latest_start_at = std::max(
      job.m_may_be_late_at, job.m_due_at - Scale(job.m_expected, job.m_margin));
  job.m_useful_until = std::min(now + Scale(objective, kUsefulObjectives),
                                job.m_request.m_give_up_at);
  if (!CanBeAnsweredHere(job, now)) {
    EndJob(handle, RejectionByStop(now), now);
    return handle;
  }
  const RejectionCause cause = FindImpossibility(job, now);
  if (cause != RejectionCause::kNone) {
    RejectJob(handle, cause, now);
    return handle;
  }
  RejectExcessJob(now);
  return handle;
}

void JobScheduler::Cancel(JobHandle handle, MonoTime) {
  if (m_jobs.contains(handle)) {
    StopRuns(handle);
    m_jobs.erase(handle);
  }
}

void JobScheduler::Drain(MonoTime ends_at) {
  m_ends_at = ends_at;
}

void JobScheduler::EndAllJobs(MonoTime now) {
  while (!m_jobs.empty()) {
    AbandonJob(m_jobs.begin()->first, RejectionByStop(now), now);
  }
}

bool JobScheduler::CanBeAnsweredHere(const Job& job, MonoTime now) const {
  return m_ends_at == MonoTime::max() ||
         CanBeAnswered(
             {job.m_request.m_give_up_at, job.m_expected, job.m_margin},
             m_ends_at, now);
}

void JobScheduler::RejectJobsThatOutliveThisProcess(MonoTime now) {
  if (m_ends_at == MonoTime::max()) {
    return;
  }
  std::vector<JobHandle> rejected;
  for (const auto& [handle, job] : m_jobs) {
    if (!job.has_started() && !CanBeAnsweredHere(job, now)) {
      rejected.push_back(handle);
    }
  }
  for (const JobHandle handle : rejected) {
    EndJob(handle, RejectionByStop(now), now);
  }
}

void JobScheduler::AbandonJob(JobHandle handle,
                              const JobRejected& rejection,
                              MonoTime now) {
  if (m_jobs.at(handle).has_started()) {
    EndJob(handle, JobLost{}, now);
  } else {
    EndJob(handle, rejection, now);
  }
}

void JobScheduler::EndJob(JobHandle handle, JobResult outcome, MonoTime now) {
  JobDiagnostics trace = GetDiagnostics(m_jobs.at(handle), now);
  StopRuns(handle);
  m_jobs.erase(handle);
  m_actions.push_back(SendJobResult{handle, outcome, std::move(trace)});
}

JobDiagnostics JobScheduler::GetDiagnostics(const Job& job,
                                            MonoTime now) const {
  JobDiagnostics trace = job.m_diagnostics;
  trace.m_priority = job.m_queue.m_priority;
  trace.m_tasks = job.m_tasks.size();
  trace.m_done = job.m_tasks.done();
  trace.m_expected = job.m_expected;
  trace.m_jobs = m_jobs.size();
  for (const auto& [name, agent] : m_agents.agents()) {
    if (!m_agents.IsAccepting(agent, job.m_queue.m_service, now)) {
      continue;
    }
    ++trace.m_usable_agents;
    trace.m_free_cpu_millis += AgentTable::FreeCapacity(agent).m_cpu_millis;
    trace.m_oldest_status =
        std::max(trace.m_oldest_status, now - agent.m_last_received);
  }
  return trace;
}

void JobScheduler::RecordPlacement(Job& job,
                                   const std::string& agent,
                                   MonoTime now) {
  JobDiagnostics& trace = job.m_diagnostics;
  if (trace.m_placements == 0) {
    trace.m_waited = now - job.m_received_at;
  }
  ++trace.m_placements;
  if (!trace.m_agents.ends_with(agent)) {
    trace.m_agents += (trace.m_agents.empty() ? "" : " ") + agent;
  }
}

void JobScheduler::StopRuns(JobHandle handle) {
  const Job& job = m_jobs.at(handle);
  for (const auto& [task, attempts] : job.m_tasks.placed()) {
    const RunKey run{KeyOf(job.m_request, job.m_tasks.Locate(task)),
                     attempts.m_run_number};
    Placement& placement = m_placements.at(run);
    placement.m_job = 0;
    m_actions.push_back(SendToAgent{placement.m_agent, StopRun{run}});
  }
}

void JobScheduler::OnAgentConnected(const std::string& name,
                                    const ProcessId& agent,
                                    MonoTime now) {
  AgentView& view = m_agents[name];
  m_next_loss_check_at = now;
  if (view.m_incarnation != agent.m_incarnation) {
    view.m_has_orphans = true;
    view.m_predecessor_heard_at = view.m_last_received;
    // The agent's machine may have restarted, which resets the clock.
    view.m_agent_clock = MonoTime();
  }
  view.m_is_connected = true;
  view.m_incarnation = agent.m_incarnation;
  view.m_last_received = now;
  view.m_heartbeat_sent_at = MonoTime();
  view.m_requested_interval = Microseconds(0);
  view.m_status.reset();
  view.m_sequence = 0;
  AgentTable::ClearPending(view);
  for (auto& [run, placement] : m_placements) {
    if (placement.m_agent != name ||
        placement.m_incarnation != view.m_incarnation) {
      continue;
    }
    if (placement.m_job == 0) {
      m_actions.push_back(SendToAgent{name, StopRun{run}});
      continue;
    }
    const Job& job = m_jobs.at(placement.m_job);
    StartRun start = MakeStartRun(job, placement.m_task, run, now);
    placement.m_sequence = ++view.m_sequence;
    start.m_sequence = view.m_sequence;
    start.m_agent_clock = view.m_agent_clock;
    AgentTable::AddPending(view, view.m_sequence, start.m_demand);
    m_actions.push_back(SendToAgent{name, std::move(start)});
  }
}

void JobScheduler::OnAgentDisconnected(const std::string& name, MonoTime) {
  if (AgentView* agent = m_agents.Find(name)) {
    agent->m_is_connected = false;
  }
}

void JobScheduler::OnAgentRemoved(const std::string& name) {
  const bool is_used = std::ranges::any_of(m_placements, [&](const auto& item) {
    return item.second.m_agent == name;
  });
  if (!is_used) {
    m_agents.Remove(name);
  }
}

void JobScheduler::OnStatus(const std::string& name,
                            const RunnerStatus& status,
                            MonoTime now) {
  AgentView& agent = m_agents[name];
  agent.m_last_received = now;
  if (agent.m_status && status.m_sequence > agent.m_sequence) {
    return;
  }
  m_agents.ApplyStatus(agent, status);
  if (agent.m_has_orphans && status.m_is_accepting) {
    m_next_loss_check_at = now;
  }
}

void JobScheduler::OnReport(const std::string& name,
                            const RunReport& report,
                            MonoTime now) {
  m_agents[name].m_last_received = now;
  const auto found = m_placements.find(report.m_run);
  if (found == m_placements.end() || found->second.m_agent != name) {
    return;
  }
  const Placement placement = found->second;
  AgentView& agent = m_agents[name];
  ReleaseRun(agent, placement);
  // The newest status already includes the run's demand if the StartRun is no
  // longer pending.
  if (!AgentTable::RemovePending(agent, placement.m_sequence)) {
    AgentTable::Release(agent, placement.m_demand);
  }
  if (report.m_outcome == RunOutcome::kDone && placement.m_job != 0) {
    const Job& job = m_jobs.at(placement.m_job);
    const Step& step = StepOf(job, placement.m_task);
    const double slowness = m_agents.RelativeSlowness(agent);
    m_run_times.Learn(job.m_queue.m_name, step.m_estimated_run_time,
                      Scale(report.m_run_time, 1.0 / slowness));
  }
  m_placements.erase(found);
  RecordRunOutcome(report.m_run, placement, report.m_outcome, now);
}

void JobScheduler::ReleaseRun(AgentView& agent, const Placement& placement) {
  --agent.m_unreported_runs;
  agent.m_wide_runs -= placement.m_is_wide ? 1 : 0;
}

void JobScheduler::RecordRunOutcome(const RunKey&,
                                    const Placement& placement,
                                    RunOutcome outcome,
                                    MonoTime now) {
  const auto found = m_jobs.find(placement.m_job);
  if (found == m_jobs.end()) {
    return;
  }
  Job& job = found->second;
  --job.m_runs_in_flight;
  job.m_has_run |= outcome != RunOutcome::kNotStarted;
  if (outcome == RunOutcome::kNotStarted) {
    m_backlogs[job.m_queue.m_service].m_admission.OnReturned(
        ExpectedWork(placement.m_demand, job.m_expected), now);
  }
  if (outcome == RunOutcome::kDone) {
    job.m_tasks.OnDone(placement.m_task);
    if (job.m_tasks.done() == job.m_tasks.size()) {
      EndJob(found->first, JobTasksDone{}, now);
    }
    return;
  }
  const bool has_failed = outcome == RunOutcome::kFailed;
  const uint32_t failures =
      job.m_tasks.OnReturned(placement.m_task, placement.m_agent, has_failed);
  job.m_waiting_work += ExpectedWork(placement.m_demand, job.m_expected);
  if (has_failed && failures >= job.m_queue.m_max_attempts) {
    EndJob(found->first, JobTasksFailed{}, now);
  }
}

uint64_t JobScheduler::NextRunNumber(MonoTime now) {
  const auto age = std::chrono::duration_cast<Milliseconds>(now - m_created_at);
  m_last_run_number =
      std::max(m_last_run_number + 1,
               m_first_run_number + static_cast<uint64_t>(age.count()));
  return m_last_run_number;
}

bool JobScheduler::HasRunInFlight(const TaskKey& task) const {
  const auto found = m_placements.lower_bound(RunKey{task, 0});
  return found != m_placements.end() && found->first.m_task == task;
}

const Step& JobScheduler::StepOf(const Job& job, size_t task) {
  return job.m_request.m_steps[job.m_tasks.Locate(task).m_step];
}

PlacementRequirements JobScheduler::GetRequirements(const Job& job,
                                                    const Step& step,
                                                    MonoTime now) const {
  PlacementRequirements requirements;
  requirements.m_service = job.m_queue.m_service;
  requirements.m_demand = step.m_demand;
  requirements.m_required_label = step.m_required_label;
  requirements.m_data_rack = step.m_data_rack;
  requirements.m_expected = job.m_expected;
  requirements.m_margin = job.m_margin;
  requirements.m_is_wide = job.is_wide();
  requirements.m_due_at = job.m_due_at;
  // A task of a started job is late on any runner by now. It takes a slower one
  // once it has waited for a faster one as long as the slower one takes longer.
  if (job.has_started() && now > job.m_latest_start_at) {
    requirements.m_useful_until = now + Scale(job.m_expected, job.m_margin) +
                                  (now - job.m_latest_start_at);
  }
  return requirements;
}

StartRun JobScheduler::MakeStartRun(const Job& job,
                                    size_t task,
                                    const RunKey& run,
                                    MonoTime now) const {
  StartRun start;
  start.m_run = run;
  start.m_service = job.m_queue.m_service;
  start.m_payload = job.m_request.m_payload;
  start.m_demand = StepOf(job, task).m_demand;
  start.m_expected = job.m_expected;
  start.m_queue_priority =
      StartOrder(job.m_queue.m_priority,
                 job.m_due_at - now +
                     (job.is_wide() ? kWideJobHandicap : Microseconds(0)));
  start.m_abandon_at = job.m_request.m_give_up_at;
  start.m_queue_until = now + kAgentQueueTime;
  return start;
}

bool JobScheduler::PlaceTask(JobHandle handle,
                             Job& job,
                             const CapacitySummary& summary,
                             MonoTime useful_until,
                             MonoTime now) {
  const size_t task = *job.m_tasks.FirstWaiting();
  const Step& step = StepOf(job, task);
  const TaskKey key = KeyOf(job.m_request, job.m_tasks.Locate(task));
  if (step.m_demand.m_cpu_millis > summary.m_largest_free_cpu_millis ||
      m_placements.size() >= m_limits.m_max_runs || HasRunInFlight(key)) {
    return false;
  }
  PlacementRequirements requirements = GetRequirements(job, step, now);
  requirements.m_avoided_agent = job.m_tasks.LastFailedAgent(task);
  requirements.m_useful_until =
      std::max(requirements.m_useful_until, useful_until);
  const auto chosen = m_agents.Choose(requirements, summary.m_is_busy, now);
  if (!chosen) {
    return false;
  }
  AgentView& agent = m_agents[*chosen];
  const RunKey run{key, NextRunNumber(now)};
  ++m_placements_made;
  ++job.m_runs_in_flight;
  RecordPlacement(job, *chosen, now);
  StartRun start = MakeStartRun(job, task, run, now);
  job.m_tasks.OnPlaced(task, run.m_number);
  start.m_sequence = ++agent.m_sequence;
  start.m_agent_clock = agent.m_agent_clock;
  AgentTable::AddPending(agent, agent.m_sequence, start.m_demand);
  ++agent.m_unreported_runs;
  agent.m_wide_runs += job.is_wide() ? 1 : 0;
  agent.m_heartbeat_sent_at = now;
  const double work = ExpectedWork(start.m_demand, job.m_expected);
  job.m_waiting_work = std::max(0.0, job.m_waiting_work - work);
  Backlog& backlog = m_backlogs[job.m_queue.m_service];
  backlog.m_admission.OnPlaced(work, now);
  backlog.m_order.OnPlaced(job.m_queue.m_priority, work);
  m_placements[run] = {
      *chosen,          agent.m_incarnation,
      handle,           task,
      agent.m_sequence, start.m_demand,
      job.is_wide(),    agent.m_status->m_runner_start_time_ms};
  m_actions.push_back(SendToAgent{*chosen, std::move(start)});
  return true;
}

void JobScheduler::BeginPass() {
  m_is_pass_cut = false;
  m_last_placement = m_placements_made + kMaxPlacementsPerTick;
  m_last_visit = m_agents.visits() + kMaxVisitsPerTick;
}

bool JobScheduler::IsPassOver() {
  const bool is_over = m_placements_made >= m_last_placement ||
                       m_agents.visits() >= m_last_visit;
  m_is_pass_cut |= is_over;
  return is_over;
}

std::map<std::string, std::vector<WaitingJob>> JobScheduler::FindWaitingJobs()
    const {
  std::map<std::string, std::vector<WaitingJob>> waiting;
  for (const auto& [handle, job] : m_jobs) {
    if (job.m_tasks.has_waiting()) {
      waiting[job.m_queue.m_service].push_back(
          {handle, job.m_queue.m_priority, job.has_started(), job.m_due_at});
    }
  }
  return waiting;
}

size_t JobScheduler::CountWaitingJobs(const std::string& queue) const {
  return static_cast<size_t>(
      std::ranges::count_if(m_jobs, [&](const auto& item) {
        return item.second.m_queue.m_name == queue &&
               !item.second.has_started();
      }));
}

void JobScheduler::PlaceWaitingTasks(MonoTime now) {
  auto waiting = FindWaitingJobs();
  for (auto& [service, backlog] : m_backlogs) {
    std::vector<WaitingJob>& jobs = waiting[service];
    backlog.m_order.Sort(jobs, backlog.m_is_short);
    std::stable_partition(jobs.begin(), jobs.end(),
                          [this](const WaitingJob& job) {
                            return !m_jobs.at(job.m_job).is_wide();
                          });
    PlaceWaitingTasks(service, jobs, now);
    RejectUnservableJobs(jobs, now);
  }
}

void JobScheduler::PlaceWaitingTasks(const std::string& service,
                                     const std::vector<WaitingJob>& jobs,
                                     MonoTime now) {
  bool& is_short = m_backlogs[service].m_is_short;
  is_short = false;
  if (jobs.empty()) {
    return;
  }
  // Placements only reduce the free capacity, so a summary stays an upper bound
  // for the whole pass.
  const CapacitySummary summary = m_agents.SummarizeCapacity(service, now);
  std::vector<JobHandle> placeable;
  placeable.reserve(jobs.size());
  for (const WaitingJob& waiting : jobs) {
    placeable.push_back(waiting.m_job);
  }
  while (!placeable.empty() && !IsPassOver()) {
    std::erase_if(placeable, [&](JobHandle handle) {
      Job& job = m_jobs.at(handle);
      return !PlaceTurn(handle, job, summary, now);
    });
  }
}

bool JobScheduler::PlaceTurn(JobHandle handle,
                             Job& job,
                             const CapacitySummary& summary,
                             MonoTime now) {
  // With capacity to spare, a late result is better than a rejection.
  const bool may_be_late = !summary.m_is_busy && now >= job.m_may_be_late_at;
  const MonoTime useful_until = may_be_late ? MonoTime::max() : MonoTime();
  for (size_t i = 0; i < kTasksPerTurn && !IsPassOver(); ++i) {
    if (!job.m_tasks.has_waiting()) {
      return false;
    }
    if (!PlaceTask(handle, job, summary, useful_until, now)) {
      m_backlogs[job.m_queue.m_service].m_is_short |= !job.is_wide();
      return false;
    }
  }
  return true;
}

void JobScheduler::EndRunsOfLostAgents(MonoTime now) {
  if (now < m_next_loss_check_at) {
    return;
  }
  m_next_loss_check_at = now + kLossCheckInterval;
  const bool has_suspects =
      std::ranges::any_of(m_agents.agents(), [&](const auto& item) {
        const AgentView& agent = item.second;
        return !agent.m_is_connected || agent.m_has_orphans ||
               now >= agent.m_last_received + kLostAgentTimeout;
      });
  if (!has_suspects) {
    return;
  }
  std::vector<RunLost> lost_runs;
  for (const auto& [run, placement] : m_placements) {
    const AgentView* agent = m_agents.Find(placement.m_agent);
    const bool is_lost =
        agent == nullptr || now >= agent->m_last_received + kLostAgentTimeout;
    const bool is_replaced =
        agent != nullptr && HasEndedWithPredecessor(placement, *agent, now);
    if (is_lost || is_replaced) {
      lost_runs.push_back(
          {run, placement.m_agent,
           is_lost ? LossReason::kAgentLost : LossReason::kAgentReplaced});
    }
  }
  for (RunLost& lost : lost_runs) {
    const auto found = m_placements.find(lost.m_run);
    const Placement placement = found->second;
    m_placements.erase(found);
    if (AgentView* agent = m_agents.Find(placement.m_agent)) {
      ReleaseRun(*agent, placement);
    }
    RecordRunOutcome(lost.m_run, placement, RunOutcome::kStopped, now);
    m_actions.push_back(std::move(lost));
  }
  m_agents.ClearOrphans(now - kLostAgentTimeout);
}

// A new incarnation accepts work only once nothing of the earlier one runs on
// its runner. Of another runner, as on another machine, it knows nothing; then
// the runs have ended once the earlier agent would count as lost.
bool JobScheduler::HasEndedWithPredecessor(const Placement& placement,
                                           const AgentView& agent,
                                           MonoTime now) {
  if (agent.m_incarnation == placement.m_incarnation) {
    return false;
  }
  const bool has_same_runner = agent.m_status &&
                               agent.m_status->m_is_accepting &&
                               agent.m_status->m_runner_start_time_ms ==
                                   placement.m_runner_start_time_ms;
  return has_same_runner ||
         now >= agent.m_predecessor_heard_at + kLostAgentTimeout;
}

RejectionCause JobScheduler::FindImpossibility(Job& job, MonoTime now) const {
  if (job.m_is_checked || now < m_created_at + kStartupTime ||
      !m_agents.KnowsRunners(job.m_queue.m_service)) {
    return RejectionCause::kNone;
  }
  job.m_is_checked = true;
  // How many times the tasks fill all runners.
  double rounds = 0.0;
  const std::vector<Step>& steps = job.m_request.m_steps;
  for (size_t i = 0; i < std::min(steps.size(), kMaxCheckedSteps); ++i) {
    const size_t places = m_agents.CountPossiblePlaces(
        GetRequirements(job, steps[i], now), steps[i].m_count);
    if (places == 0) {
      return RejectionCause::kFitsNoRunner;
    }
    rounds +=
        static_cast<double>(steps[i].m_count) / static_cast<double>(places);
  }
  const Microseconds shortest =
      Scale(job.m_expected, std::floor(rounds) * kMinRunTimeFactor);
  return rounds >= 2.0 && shortest > job.m_request.m_give_up_at - now
             ? RejectionCause::kTooManyTasks
             : RejectionCause::kNone;
}

void JobScheduler::RejectExcessJob(MonoTime now) {
  const size_t least = std::min(m_limits.m_max_waiting_jobs,
                                m_limits.m_max_waiting_jobs_per_client);
  if (m_jobs.size() <= least) {
    return;
  }
  std::vector<UnstartedJob> jobs;
  for (const auto& [handle, job] : m_jobs) {
    if (!job.has_started()) {
      jobs.push_back(
          {handle, job.m_request.m_client, job.m_request.m_give_up_at});
    }
  }
  if (const auto excess = ChooseExcessJob(jobs, m_limits)) {
    RejectJob(*excess, RejectionCause::kTooManyJobs, now);
  }
}

RejectionCause JobScheduler::FindRejectionCause(const Job& job,
                                                double work_ahead,
                                                MonoTime now) const {
  const std::string& service = job.m_queue.m_service;
  const bool has_runner =
      std::ranges::any_of(m_agents.agents(), [&](const auto& item) {
        return m_agents.IsAccepting(item.second, service, now);
      });
  if (!has_runner) {
    const bool is_starting_up = now < m_created_at + kStartupTime &&
                                !m_agents.HasAcceptingAgent(service);
    const MonoTime wait_until =
        is_starting_up ? job.m_latest_start_at : job.m_may_be_late_at;
    return now >= wait_until ? RejectionCause::kNoRunner
                             : RejectionCause::kNone;
  }
  if (now >= job.m_latest_start_at) {
    return RejectionCause::kWaitedTooLong;
  }
  const auto wait =
      m_backlogs.at(service).m_admission.ExpectedWait(work_ahead, now);
  return wait && now + *wait > job.m_latest_start_at
             ? RejectionCause::kWorkAhead
             : RejectionCause::kNone;
}

bool JobScheduler::PlaceLate(JobHandle handle, Job& job, MonoTime now) {
  const std::vector<Step>& steps = job.m_request.m_steps;
  for (size_t i = 0; i < steps.size(); ++i) {
    const size_t tasks = job.m_tasks.CountWaiting(i);
    PlacementRequirements requirements = GetRequirements(job, steps[i], now);
    requirements.m_useful_until = job.m_useful_until;
    if (tasks > 0 &&
        m_agents.CountUsefulPlaces(requirements, tasks, now) < tasks) {
      return false;
    }
  }
  const CapacitySummary summary =
      m_agents.SummarizeCapacity(job.m_queue.m_service, now);
  bool is_placed = false;
  while (job.m_tasks.has_waiting() && !IsPassOver() &&
         PlaceTask(handle, job, summary, job.m_useful_until, now)) {
    is_placed = true;
  }
  return is_placed;
}

void JobScheduler::RejectUnservableJobs(const std::vector<WaitingJob>& jobs,
                                        MonoTime now) {
  // Work ahead of the job, in all and of its own priority.
  double ahead = 0.0;
  std::map<int32_t, double> ahead_in_priority;
  for (const WaitingJob& waiting : jobs) {
    Job& job = m_jobs.at(waiting.m_job);
    const double work = job.m_waiting_work;
    double& own = ahead_in_priority[waiting.m_priority];
    const double share =
        m_backlogs[job.m_queue.m_service].m_order.ShareOf(waiting.m_priority);
    if (!job.has_started()) {
      const RejectionCause impossible = FindImpossibility(job, now);
      if (impossible != RejectionCause::kNone) {
        RejectJob(waiting.m_job, impossible, now);
        continue;
      }
      const RejectionCause cause =
          FindRejectionCause(job, std::min(ahead, own / share), now);
      if (cause != RejectionCause::kNone) {
        // A job that may still be placed late is looked at again.
        if (!PlaceLate(waiting.m_job, job, now) && !IsPassOver()) {
          RejectJob(waiting.m_job, cause, now);
        }
        continue;
      }
    }
    ahead += work;
    own += work;
  }
}

void JobScheduler::RejectJob(JobHandle handle,
                             RejectionCause cause,
                             MonoTime now) {
  Job& job = m_jobs.at(handle);
  job.m_diagnostics.m_rejection_cause = cause;
  const bool has_runner =
      cause != RejectionCause::kFitsNoRunner &&
      std::ranges::any_of(job.m_request.m_steps, [&](const Step& step) {
        return m_agents.CountPossiblePlaces(GetRequirements(job, step, now),
                                            1) > 0;
      });
  EndJob(handle,
         JobRejected{has_runner ? RejectionReason::kOverloaded
                                : RejectionReason::kNoRunner,
                     m_retry_advice[job.m_queue.m_service].OnRejection(now)},
         now);
}

void JobScheduler::EndExpiredJobs(MonoTime now) {
  std::vector<JobHandle> expired;
  for (const auto& [handle, job] : m_jobs) {
    if (job.m_request.m_give_up_at <= now) {
      expired.push_back(handle);
    }
  }
  for (const JobHandle handle : expired) {
    EndJob(handle, JobLost{}, now);
  }
}

// After a freeze the client may have given up and sent the job to another
// entry, and the end of its connection may not have been read yet. Nothing of
// the job is started.
void JobScheduler::EndJobsAfterFreeze(MonoTime now) {
  if (!m_last_tick || now < *m_last_tick + kFreezeThreshold) {
    return;
  }
  // Jobs that were read since then have clients that still wait.
  std::vector<JobHandle> ended;
  for (const auto& [handle, job] : m_jobs) {
    if (job.m_received_at <= *m_last_tick) {
      ended.push_back(handle);
    }
  }
  for (const JobHandle handle : ended) {
    const std::string& service = m_jobs.at(handle).m_queue.m_service;
    AbandonJob(handle,
               JobRejected{RejectionReason::kOverloaded,
                           m_retry_advice[service].OnRejection(now)},
               now);
  }
}

void JobScheduler::SendEntryHeartbeats(MonoTime now) {
  if (now < m_next_heartbeats_at) {
    return;
  }
  m_next_heartbeats_at = now + kHeartbeatCheckInterval;
  const size_t watched = m_agents.UpdateWatchedAgents(now);
  m_idle_interval = std::clamp<Microseconds>(
      kIdleSpacing * static_cast<int64_t>(m_agents.agents().size()),
      kMinIdleInterval, kMaxIdleInterval);
  m_watched_interval = std::min<Microseconds>(
      kMaxStatusInterval, kStatusSpacing * static_cast<int64_t>(watched));
  for (auto& [name, agent] : m_agents.agents()) {
    if (agent.m_is_connected && IsHeartbeatDue(agent, now)) {
      agent.m_heartbeat_sent_at = now;
      agent.m_requested_interval = StatusInterval(agent);
      m_actions.push_back(SendToAgent{
          name,
          EntryHeartbeat{agent.m_agent_clock, agent.m_requested_interval}});
    }
  }
}

Microseconds JobScheduler::StatusInterval(const AgentView& agent) const {
  if (agent.m_is_watched) {
    return m_watched_interval;
  }
  return agent.m_unreported_runs > 0 ? kRunStatusInterval : m_idle_interval;
}

Microseconds JobScheduler::HeartbeatInterval(const AgentView& agent) const {
  if (agent.m_unreported_runs > 0) {
    return kEntryHeartbeatInterval;
  }
  return agent.m_is_watched ? kWatchedHeartbeatInterval : m_idle_interval;
}

bool JobScheduler::IsHeartbeatDue(const AgentView& agent, MonoTime now) const {
  if (now >= agent.m_heartbeat_sent_at + HeartbeatInterval(agent)) {
    return true;
  }
  const Microseconds wanted = StatusInterval(agent);
  return agent.m_requested_interval > Scale(wanted, kIntervalTolerance) ||
         wanted > Scale(agent.m_requested_interval, kIntervalTolerance);
}

MonoTime JobScheduler::SilenceDeadline(const std::string& name,
                                       MonoTime last_received) const {
  const auto found = m_agents.agents().find(name);
  if (found == m_agents.agents().end() ||
      !found->second.needs_frequent_status()) {
    return last_received + IdleConnectionTimeout(m_idle_interval);
  }
  return std::max(last_received, found->second.m_watched_since) +
         kSilenceTimeout;
}

std::vector<SchedulerAction> JobScheduler::Tick(MonoTime now) {
  EndJobsAfterFreeze(now);
  m_last_tick = now;
  EndExpiredJobs(now);
  RejectJobsThatOutliveThisProcess(now);
  EndRunsOfLostAgents(now);
  BeginPass();
  PlaceWaitingTasks(now);
  SendEntryHeartbeats(now);
  return std::exchange(m_actions, {});
}

MonoTime JobScheduler::NextDeadline(MonoTime now) const {
  if (m_is_pass_cut) {
    return now;
  }
  MonoTime next = std::min(m_next_heartbeats_at, m_next_loss_check_at);
  for (const auto& [handle, job] : m_jobs) {
    next = std::min(next, job.m_request.m_give_up_at);
    if (!job.has_started()) {
      next = std::min(next, now < job.m_may_be_late_at ? job.m_may_be_late_at
                                                       : job.m_latest_start_at);
    }
  }
  return next;
}

}  // namespace comfreyshift
