#include "bench/placement_bench_admission.h"

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bench/placement_bench_workload.h"
#include "placement/placement.h"

namespace comfreyshift::bench {
namespace {

using Json = nlohmann::ordered_json;

constexpr uint32_t kServers = 88;
constexpr double kMeanRunSeconds = 0.4;
constexpr double kServiceRate = kServers / kMeanRunSeconds;
constexpr uint32_t kClients = 10;
constexpr uint32_t kEntries = 3;
constexpr uint32_t kMaxTasks = 20;
constexpr Microseconds kTimeout = std::chrono::seconds(5);
constexpr MonoTime kEnd = kStart + std::chrono::seconds(600);
constexpr double kBurstSeconds = 10;
constexpr Microseconds kDigestPeriod = std::chrono::seconds(1);

struct ClientLoad {
  // Tasks a second.
  double m_offered = 0;
  double m_quota = 0;
};

struct AdmissionOutcome {
  // Response times of the jobs of each client, in seconds.
  std::vector<std::vector<double>> m_responses;
  uint64_t m_tasks_in_time = 0;
  uint64_t m_tasks_late = 0;
  uint64_t m_tasks_refused = 0;
  // Of these, tasks of all clients but the first.
  uint64_t m_others_refused = 0;
};

enum class EventKind : uint8_t { kArrival, kEnd, kDigest };

struct Event {
  MonoTime m_time;
  EventKind m_kind = EventKind::kArrival;
  uint32_t m_index = 0;

  bool operator>(const Event& other) const { return m_time > other.m_time; }
};

struct JobState {
  uint32_t m_client = 0;
  uint32_t m_entry = 0;
  uint32_t m_left = 0;
  uint32_t m_tasks = 0;
  MonoTime m_arrival;
  MonoTime m_admitted;
};

std::string NameOf(uint32_t client) {
  return "client-" + std::to_string(client);
}

// Clients submit jobs of 1 to 20 tasks to random entries; admitted tasks share
// 88 servers with exponential run times, first come, first served.
class AdmissionRun {
 public:
  AdmissionRun(std::vector<ClientLoad> loads, uint64_t seed)
      : m_loads(std::move(loads)), m_random(seed) {
    m_outcome.m_responses.resize(m_loads.size());
    std::vector<ClientQuota> quotas;
    for (uint32_t i = 0; i < m_loads.size(); ++i) {
      quotas.push_back({NameOf(i), m_loads[i].m_quota,
                        kBurstSeconds * m_loads[i].m_quota, 1});
    }
    for (uint32_t i = 0; i < kEntries; ++i) {
      // A little more than the servers keeps them busy.
      const uint32_t running = kServers * 5 / 4 / kEntries;
      m_entries.emplace_back(
          AdmissionConfig{"entry-" + std::to_string(i), running, 2000}, kStart);
      m_entries.back().SetEntries(kStart, kEntries);
      m_entries.back().SetClients(kStart, quotas);
    }
    m_tickets.resize(kEntries);
  }

  AdmissionOutcome Run() {
    for (uint32_t i = 0; i < m_loads.size(); ++i) {
      PushArrival(i, kStart);
    }
    m_events.push({kStart + kDigestPeriod, EventKind::kDigest, 0});
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_time;
      Apply(event);
    }
    return std::move(m_outcome);
  }

 private:
  void Apply(const Event& event) {
    switch (event.m_kind) {
      case EventKind::kArrival:
        return Arrive(event.m_index);
      case EventKind::kEnd:
        return End(event.m_index);
      case EventKind::kDigest:
        return Exchange();
    }
  }

  void PushArrival(uint32_t client, MonoTime after) {
    constexpr double kMeanTasks = (1 + kMaxTasks) / 2.0;
    std::exponential_distribution<double> gap(m_loads[client].m_offered /
                                              kMeanTasks);
    const MonoTime at =
        after + Microseconds(static_cast<int64_t>(gap(m_random) * 1e6));
    if (at < kEnd) {
      m_events.push({at, EventKind::kArrival, client});
    }
  }

  void Arrive(uint32_t client) {
    PushArrival(client, m_now);
    JobState job;
    job.m_client = client;
    job.m_entry = static_cast<uint32_t>(m_random() % kEntries);
    job.m_tasks = static_cast<uint32_t>(1 + m_random() % kMaxTasks);
    job.m_left = job.m_tasks;
    job.m_arrival = m_now;
    const auto index = static_cast<uint32_t>(m_jobs.size());
    m_jobs.push_back(job);
    auto result = m_entries[job.m_entry].Admit(m_now, NameOf(client),
                                               job.m_tasks, m_now + kTimeout);
    if (!result) {
      Refuse(index);
    } else if (auto* later = std::get_if<AdmissionQueued>(&result.value())) {
      m_tickets[job.m_entry][later->m_ticket] = index;
    } else {
      Start(index);
    }
  }

  void Refuse(uint32_t index) {
    const JobState& job = m_jobs[index];
    m_outcome.m_tasks_refused += job.m_tasks;
    m_outcome.m_others_refused += job.m_client > 0 ? job.m_tasks : 0;
  }

  void Start(uint32_t index) {
    m_jobs[index].m_admitted = m_now;
    for (uint32_t i = 0; i < m_jobs[index].m_tasks; ++i) {
      m_waiting.push_back(index);
    }
    Fill();
  }

  void Fill() {
    std::exponential_distribution<double> run(1 / kMeanRunSeconds);
    while (m_busy < kServers && !m_waiting.empty()) {
      const Microseconds time(static_cast<int64_t>(run(m_random) * 1e6));
      m_events.push({m_now + time, EventKind::kEnd, m_waiting.front()});
      m_waiting.pop_front();
      ++m_busy;
    }
  }

  void End(uint32_t index) {
    JobState& job = m_jobs[index];
    --m_busy;
    if (--job.m_left == 0) {
      m_entries[job.m_entry].OnJobEnded(m_now - job.m_admitted);
      const Microseconds response = m_now - job.m_arrival;
      m_outcome.m_responses[job.m_client].push_back(
          std::chrono::duration<double>(response).count());
      const bool in_time = response <= kTimeout;
      (in_time ? m_outcome.m_tasks_in_time : m_outcome.m_tasks_late) +=
          job.m_tasks;
    }
    m_entries[job.m_entry].Release(m_now, 1);
    TickEntry(job.m_entry);
    Fill();
  }

  void TickEntry(uint32_t entry) {
    for (const TicketEvent& event : m_entries[entry].Tick(m_now)) {
      if (const auto* admitted = std::get_if<TicketAdmitted>(&event)) {
        Start(m_tickets[entry][admitted->m_ticket]);
        m_tickets[entry].erase(admitted->m_ticket);
      } else {
        const TicketId ticket = std::get<TicketRefused>(event).m_ticket;
        Refuse(m_tickets[entry][ticket]);
        m_tickets[entry].erase(ticket);
      }
    }
  }

  void Exchange() {
    for (uint32_t from = 0; from < kEntries; ++from) {
      const UsageDigest digest = m_entries[from].Usage(m_now);
      for (uint32_t to = 0; to < kEntries; ++to) {
        if (to != from) {
          m_entries[to].OnPeerUsage(m_now, "entry-" + std::to_string(from),
                                    digest);
        }
      }
    }
    if (m_now < kEnd) {
      m_events.push({m_now + kDigestPeriod, EventKind::kDigest, 0});
    }
  }

  std::vector<ClientLoad> m_loads;
  std::mt19937_64 m_random;
  MonoTime m_now;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<Admission> m_entries;
  std::vector<std::map<TicketId, uint32_t>> m_tickets;
  std::vector<JobState> m_jobs;
  std::deque<uint32_t> m_waiting;
  uint32_t m_busy = 0;
  AdmissionOutcome m_outcome;
};

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(quantile *
                                    static_cast<double>(values.size() - 1))];
}

// p99 of the response times of all clients but the first.
double OthersP99(const AdmissionOutcome& outcome) {
  std::vector<double> all;
  for (size_t i = 1; i < outcome.m_responses.size(); ++i) {
    all.insert(all.end(), outcome.m_responses[i].begin(),
               outcome.m_responses[i].end());
  }
  return Quantile(all, 0.99);
}

size_t OthersDone(const AdmissionOutcome& outcome) {
  size_t jobs = 0;
  for (size_t i = 1; i < outcome.m_responses.size(); ++i) {
    jobs += outcome.m_responses[i].size();
  }
  return jobs;
}

void RunGreedy(uint64_t seed) {
  constexpr double kQuota = 0.95 * kServiceRate / kClients;
  std::vector<ClientLoad> loads(kClients, {0.9 * kQuota, kQuota});
  loads[0].m_offered = kQuota;
  const AdmissionOutcome calm = AdmissionRun(loads, seed).Run();
  loads[0].m_offered = 10 * kQuota;
  const AdmissionOutcome greedy = AdmissionRun(loads, seed).Run();
  const Json line = {
      {"bench", "admission"},
      {"scenario", "client_at_ten_times_quota"},
      {"seed", seed},
      {"others_p99_s_at_quota", OthersP99(calm)},
      {"others_p99_s_at_ten_times", OthersP99(greedy)},
      {"change", OthersP99(greedy) / OthersP99(calm) - 1},
      {"others_jobs_done_at_quota", OthersDone(calm)},
      {"others_jobs_done_at_ten_times", OthersDone(greedy)},
      {"others_tasks_refused_at_quota", calm.m_others_refused},
      {"others_tasks_refused_at_ten_times", greedy.m_others_refused}};
  std::cout << line.dump() << std::endl;
}

void RunOverload(uint64_t seed) {
  const std::vector<ClientLoad> loads(
      kClients, {2 * kServiceRate / kClients, 4 * kServiceRate / kClients});
  const AdmissionOutcome outcome = AdmissionRun(loads, seed).Run();
  const double seconds = std::chrono::duration<double>(kEnd - kStart).count();
  const Json line = {
      {"bench", "admission"},
      {"scenario", "twice_capacity"},
      {"seed", seed},
      {"goodput_of_capacity",
       static_cast<double>(outcome.m_tasks_in_time) / (kServiceRate * seconds)},
      {"late_tasks", outcome.m_tasks_late},
      {"refused_tasks", outcome.m_tasks_refused}};
  std::cout << line.dump() << std::endl;
}

using Steady = std::chrono::steady_clock;

double NanosecondsEach(Steady::time_point from, size_t count) {
  return std::chrono::duration<double, std::nano>(Steady::now() - from)
             .count() /
         static_cast<double>(count);
}

std::vector<ClientQuota> ManyQuotas(uint32_t clients) {
  std::vector<ClientQuota> quotas;
  for (uint32_t i = 0; i < clients; ++i) {
    quotas.push_back({NameOf(i), 1e9, 1e9, 1});
  }
  return quotas;
}

void RunCancellations() {
  constexpr uint32_t kJobs = 100'000;
  constexpr uint32_t kTeams = 130;
  Admission admission({"entry", 1, 2 * kJobs}, kStart);
  admission.SetClients(kStart, ManyQuotas(kTeams));
  std::vector<TicketId> tickets;
  const MonoTime deadline = kStart + std::chrono::hours(1);
  const auto queueing = Steady::now();
  for (uint32_t i = 0; i <= kJobs; ++i) {
    const auto result =
        admission.Admit(kStart, NameOf(i % kTeams), 1, deadline);
    if (const auto* later = std::get_if<AdmissionQueued>(&result.value())) {
      tickets.push_back(later->m_ticket);
    }
  }
  const double admit_ns = NanosecondsEach(queueing, kJobs);
  const auto cancelling = Steady::now();
  for (const TicketId ticket : tickets) {
    admission.Cancel(ticket);
  }
  const double cancel_ns = NanosecondsEach(cancelling, tickets.size());
  const Json line = {
      {"bench", "admission"},           {"scenario", "cancellation_wave"},
      {"jobs", tickets.size()},         {"queue_ns_per_job", admit_ns},
      {"cancel_ns_per_job", cancel_ns}, {"left", admission.queued_tasks()}};
  std::cout << line.dump() << std::endl;
}

void RunDecisionCost() {
  constexpr uint32_t kTeams = 130;
  constexpr uint32_t kDecisions = 200'000;
  Admission admission({"entry", 1000, 1000}, kStart);
  admission.SetClients(kStart, ManyQuotas(kTeams));
  std::vector<std::string> names;
  for (uint32_t i = 0; i < kTeams; ++i) {
    names.push_back(NameOf(i));
  }
  MonoTime now = kStart;
  const auto from = Steady::now();
  for (uint32_t i = 0; i < kDecisions; ++i) {
    now += Microseconds(10);
    (void)admission.Admit(now, names[i % kTeams], 1, now + kTimeout);
    admission.Release(now, 1);
  }
  const Json line = {
      {"bench", "admission"},
      {"scenario", "decision_cost"},
      {"clients", kTeams},
      {"admit_and_release_ns", NanosecondsEach(from, kDecisions)},
      {"bytes_per_client", Admission::ClientBytes()}};
  std::cout << line.dump() << std::endl;
}

enum class Fill : uint8_t { kMostlyBusy, kFull };

// A placer with `count` targets.
Placer BusyPlacer(uint32_t count, Fill fill, uint64_t seed) {
  Placer placer(seed);
  std::vector<PlacementTarget> targets(count);
  for (uint32_t i = 0; i < count; ++i) {
    targets[i].m_name = "target-" + std::to_string(i);
    targets[i].m_agent = {"agent-" + std::to_string(i), 1};
    targets[i].m_slots = kSlots;
  }
  placer.SetTargets(kStart, targets);
  std::mt19937_64 random(seed);
  for (uint32_t i = 0; i < count; ++i) {
    const auto tasks =
        fill == Fill::kFull ? kSlots : static_cast<uint32_t>(random() % 10);
    for (uint32_t sent = 0; fill == Fill::kFull && sent < kSlots; ++sent) {
      placer.OnSent(kStart, i);
    }
    placer.OnLoad(kStart, i, {std::min(tasks, kSlots), tasks / 9, kSlots, {}});
  }
  return placer;
}

void RunChooseCost(uint32_t count, Fill fill, uint64_t seed) {
  constexpr uint32_t kDecisions = 200'000;
  Placer placer = BusyPlacer(count, fill, seed);
  const std::vector<bool> allowed(count, true);
  PlacementRequest request;
  request.m_allowed = &allowed;
  request.m_tasks_left = 100;
  request.m_declared_run_time = Milliseconds(300);
  MonoTime now = kStart;
  uint32_t chosen = 0;
  const auto from = Steady::now();
  for (uint32_t i = 0; i < kDecisions; ++i) {
    now += Microseconds(10);
    if (const auto target = placer.Choose(now, request)) {
      placer.OnSent(now, *target);
      placer.OnDone(now, *target, Milliseconds(300), true, Milliseconds(200));
      ++chosen;
    }
  }
  const Json line = {{"bench", "placement_cost"},
                     {"targets", count},
                     {"all_full", fill == Fill::kFull},
                     {"choose_send_end_ns", NanosecondsEach(from, kDecisions)},
                     {"chosen", chosen},
                     {"bytes_per_target", Placer::StateBytes()}};
  std::cout << line.dump() << std::endl;
}

}  // namespace

void RunAdmission(uint64_t seed) {
  for (uint64_t i = 0; i < 3; ++i) {
    RunGreedy(seed + i);
    RunOverload(seed + i);
  }
  RunCancellations();
}

void RunCosts(uint64_t seed) {
  for (const uint32_t count : {11U, 600U, 2400U}) {
    RunChooseCost(count, Fill::kMostlyBusy, seed);
    RunChooseCost(count, Fill::kFull, seed);
  }
  RunDecisionCost();
}

}  // namespace comfreyshift::bench
