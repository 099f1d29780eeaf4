// Measures the membership library under virtual time. Prints one JSON object a
// line on stdout.
// usage: membership_bench [--suspicion-factor=F] [--lifetime-ms=MS]
//                         [--scenario=NAME] [MEMBERS...]
// The default is 11, 100 and 600 members in all scenarios, in about a minute.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.h"
#include "membership/membership.h"

namespace comfreyshift {
namespace {

constexpr size_t kEntries = 6;
constexpr size_t kZones = 6;
constexpr size_t kMembersPerRack = 20;
constexpr uint64_t kSeed = 20261204;
constexpr std::chrono::seconds kSecond{1};
constexpr size_t kUdpIpHeader = 28;
// Printed for what did not happen in a scenario.
constexpr Microseconds kNotSeen = -1 * kSecond;

struct Scenario {
  const char* m_name;
  uint64_t m_loss_percent = 0;
  bool m_store_up = true;
  bool m_zone_lost = false;
};

struct Node {
  std::unique_ptr<Membership> m_membership;
  MonoTime m_scheduled = MonoTime::max();
  bool m_up = true;
};

// A wake-up, the arrival of a datagram, a store answer or a fetched revision.
struct Event {
  MonoTime m_at;
  uint64_t m_order = 0;
  uint32_t m_node = 0;
  uint32_t m_from = 0;
  enum class Kind : uint8_t { kTick, kDatagram, kStoreRead, kFetched } m_kind;
  Revision m_revision = 0;
  MonoTime m_sent_at;
  std::vector<uint8_t> m_bytes;
};

struct Later {
  bool operator()(const Event& a, const Event& b) const {
    return std::pair(a.m_at, a.m_order) > std::pair(b.m_at, b.m_order);
  }
};

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double Seconds(Microseconds duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

Address AddressOf(size_t i) {
  return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
          7000};
}

std::vector<Member> MakeMembers(size_t count) {
  std::vector<Member> members(count);
  for (size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    members[i].m_id = {"process-" + number, 1'796'378'400'000 + i};
    members[i].m_role = i < kEntries ? MemberRole::kEntry : MemberRole::kAgent;
    members[i].m_datagram_address = AddressOf(i);
    members[i].m_rpc_address = AddressOf(i);
    members[i].m_zone = "zone-" + std::to_string(i % kZones);
    members[i].m_rack = "rack-" + std::to_string(i / kZones / kMembersPerRack);
    members[i].m_worker = "worker-" + number;
    members[i].m_target = "target-" + number;
  }
  return members;
}

class Simulation {
 public:
  Simulation(size_t count, const Scenario& scenario, MembershipConfig config)
      : m_scenario(scenario),
        m_lifetime(config.m_proof_lifetime),
        m_members(std::make_shared<std::vector<Member>>(MakeMembers(count))),
        m_nodes(count),
        m_random(kSeed) {
    config.m_fleet_key = "bench key";
    for (uint32_t i = 0; i < count; ++i) {
      m_nodes[i].m_membership = std::make_unique<Membership>(
          config, (*m_members)[i], m_random(), m_now);
      m_nodes[i].m_membership->SetMembers(m_now, 1, m_members, {});
      m_nodes[i].m_membership->SetAppliedRevision(m_now, 1);
      Schedule(i);
      if (i < kEntries) {
        Push({m_now + kSecond * i / kEntries,
              0,
              i,
              0,
              Event::Kind::kStoreRead,
              0,
              {},
              {}});
      }
    }
  }

  void RunFor(Microseconds duration) {
    const MonoTime end = m_now + duration;
    while (m_events.top().m_at < end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      if (m_now >= m_next_sample) {
        Sample();
        m_next_sample = m_now + Milliseconds(50);
      }
      if (m_nodes[event.m_node].m_up) {
        Handle(event);
        Drain(event.m_node);
        Schedule(event.m_node);
      }
    }
    m_now = end;
  }

  // Clears what was measured so far.
  void StartMeasuring() {
    m_store_age = Histogram();
    m_proof_age = Histogram();
    m_cut_off_samples = 0;
    m_suspected = 0;
    m_dead = 0;
    m_measured_from = m_now;
    m_cpu_from = CpuSeconds();
    m_traffic_from = Traffic();
  }

  // The first entry writes a revision.
  void Edit() {
    ++m_head;
    m_written_at = m_now;
    m_held = 0;
    m_confirmed_after = kNotSeen;
    m_held_after = kNotSeen;
    Apply(0, m_head);
  }

  void Kill(size_t i) { m_nodes[i].m_up = false; }

  void KillAt(size_t i) {
    Kill(i);
    m_victim = i;
    m_killed_at = m_now;
    m_detected = 0;
  }

  void LoseZone() {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (i % kZones == kZones - 1) {
        Kill(i);
      }
    }
  }

  void StopStore() { m_store_up = false; }

  void Print() const {
    const double seconds = Seconds(m_now - m_measured_from);
    const double process_seconds = seconds * static_cast<double>(UpCount());
    const auto traffic = Traffic();
    const auto datagrams =
        static_cast<double>(traffic.first - m_traffic_from.first);
    const auto bytes =
        static_cast<double>(traffic.second - m_traffic_from.second) +
        datagrams * kUdpIpHeader;
    std::printf(
        "{\"members\":%zu,\"scenario\":\"%s\",\"virtual_s\":%.0f,"
        "\"store_proof_age_p50_s\":%.3f,\"store_proof_age_p99_s\":%.3f,"
        "\"store_proof_age_max_s\":%.3f,\"proof_age_p50_s\":%.3f,"
        "\"proof_age_p99_s\":%.3f,\"proof_age_max_s\":%.3f,"
        "\"samples\":%llu,\"cut_off_samples\":%llu,\"bytes_per_s\":%.0f,"
        "\"datagrams_per_s\":%.1f,\"cpu_us_per_s\":%.1f,"
        "\"state_bytes\":%zu,\"suspected_events\":%llu,\"dead_events\":%llu,"
        "\"revision_held_by_all_s\":%.3f,\"revision_confirmed_s\":%.3f,"
        "\"detected_first_s\":%.3f,\"detected_by_all_s\":%.3f}\n",
        m_nodes.size(), m_scenario.m_name, seconds,
        Seconds(m_store_age.Quantile(0.5)), Seconds(m_store_age.Quantile(0.99)),
        Seconds(m_store_age.Quantile(1)), Seconds(m_proof_age.Quantile(0.5)),
        Seconds(m_proof_age.Quantile(0.99)), Seconds(m_proof_age.Quantile(1)),
        static_cast<unsigned long long>(m_proof_age.count()),
        static_cast<unsigned long long>(m_cut_off_samples),
        bytes / process_seconds, datagrams / process_seconds,
        (CpuSeconds() - m_cpu_from) * 1e6 / process_seconds,
        m_nodes[0].m_membership->StateBytes(),
        static_cast<unsigned long long>(m_suspected),
        static_cast<unsigned long long>(m_dead), Seconds(m_held_after),
        Seconds(m_confirmed_after), Seconds(m_detected_first),
        Seconds(m_detected_by_all));
    std::fflush(stdout);
  }

 private:
  void Push(Event event) {
    event.m_order = m_order++;
    m_events.push(std::move(event));
  }

  void Schedule(uint32_t i) {
    Node& node = m_nodes[i];
    const MonoTime next = node.m_membership->NextDeadline();
    if (next < node.m_scheduled) {
      node.m_scheduled = next;
      Push({std::max(next, m_now), 0, i, 0, Event::Kind::kTick, 0, {}, {}});
    }
  }

  void Handle(Event& event) {
    Membership& membership = *m_nodes[event.m_node].m_membership;
    switch (event.m_kind) {
      case Event::Kind::kTick:
        m_nodes[event.m_node].m_scheduled = MonoTime::max();
        membership.Tick(m_now);
        break;
      case Event::Kind::kDatagram:
        membership.OnDatagram(m_now,
                              (*m_members)[event.m_from].m_datagram_address,
                              event.m_bytes);
        break;
      case Event::Kind::kStoreRead:
        if (m_store_up) {
          membership.OnStoreRead(m_head, m_now);
          Apply(event.m_node, m_head);
        }
        event.m_at = m_now + kSecond;
        Push(event);
        break;
      case Event::Kind::kFetched:
        Apply(event.m_node, event.m_revision);
        break;
    }
  }

  void Apply(uint32_t i, Revision revision) {
    Membership& membership = *m_nodes[i].m_membership;
    if (membership.applied_revision() >= revision) {
      return;
    }
    membership.SetAppliedRevision(m_now, revision);
    if (++m_held == UpCount()) {
      m_held_after = m_now - m_written_at;
    }
  }

  void Drain(uint32_t i) {
    Membership& membership = *m_nodes[i].m_membership;
    for (const MembershipEvent& event : membership.TakeEvents()) {
      Note(i, event);
    }
    for (OutboundDatagram& datagram : membership.TakeDatagrams()) {
      if (m_random.Below(100) < m_scenario.m_loss_percent) {
        continue;
      }
      Push({m_now + Delay(),
            0,
            IndexOf(datagram.m_to),
            i,
            Event::Kind::kDatagram,
            0,
            {},
            std::move(datagram.m_bytes)});
    }
  }

  void Note(uint32_t i, const MembershipEvent& event) {
    if (const auto* newer = std::get_if<NewerRevisionSeen>(&event)) {
      // A fetch over RPC takes a round trip.
      Push({m_now + Delay() + Delay(),
            0,
            i,
            0,
            Event::Kind::kFetched,
            newer->m_revision,
            {},
            {}});
    } else if (const auto* confirmed = std::get_if<RevisionConfirmed>(&event)) {
      if (i == 0 && m_head > 1 && confirmed->m_revision == m_head) {
        m_confirmed_after = m_now - m_written_at;
      }
    } else if (const auto* dead = std::get_if<MemberDead>(&event)) {
      NoteDead(dead->m_id);
    } else if (std::holds_alternative<MemberSuspected>(event)) {
      ++m_suspected;
    }
  }

  void NoteDead(const ProcessId& id) {
    if (m_victim == SIZE_MAX || id != (*m_members)[m_victim].m_id) {
      ++m_dead;
      return;
    }
    if (++m_detected == 1) {
      m_detected_first = m_now - m_killed_at;
    }
    if (m_detected == UpCount()) {
      m_detected_by_all = m_now - m_killed_at;
    }
  }

  void Sample() {
    for (const Node& node : m_nodes) {
      if (!node.m_up) {
        continue;
      }
      const MonoTime store = node.m_membership->StoreProofUntil();
      const MonoTime best = node.m_membership->FreshUntil();
      m_store_age.Record(AgeOf(store));
      m_proof_age.Record(AgeOf(best));
      m_cut_off_samples += best <= m_now ? 1 : 0;
    }
  }

  // Age of the proof that ends at `end`; 1,000 s stands for "none".
  Microseconds AgeOf(MonoTime end) const {
    return end == MonoTime::min() ? Microseconds(1000 * kSecond)
                                  : m_now - (end - m_lifetime);
  }

  std::pair<uint64_t, uint64_t> Traffic() const {
    std::pair<uint64_t, uint64_t> sum;
    for (const Node& node : m_nodes) {
      const MembershipCounters& counters = node.m_membership->counters();
      sum.first += counters.m_sent + counters.m_received;
      sum.second += counters.m_sent_bytes + counters.m_received_bytes;
    }
    return sum;
  }

  size_t UpCount() const {
    return static_cast<size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(),
                      [](const Node& node) { return node.m_up; }));
  }

  uint32_t IndexOf(const Address& address) const {
    const size_t dot = address.m_host.rfind('.');
    const int low = std::atoi(address.m_host.c_str() + dot + 1);
    return static_cast<uint32_t>(std::atoi(address.m_host.c_str() + 5) * 250 +
                                 low);
  }

  // One-way delay between two processes, 0.2 to 1.5 ms.
  Microseconds Delay() { return Microseconds(200 + m_random.Below(1'300)); }

  Scenario m_scenario;
  Microseconds m_lifetime;
  MemberList m_members;
  std::vector<Node> m_nodes;
  SplitMix64 m_random;
  MonoTime m_now{100 * kSecond};
  MonoTime m_next_sample{100 * kSecond};
  uint64_t m_order = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
  bool m_store_up = true;
  Revision m_head = 1;

  Histogram m_store_age;
  Histogram m_proof_age;
  uint64_t m_cut_off_samples = 0;
  uint64_t m_suspected = 0;
  uint64_t m_dead = 0;
  MonoTime m_measured_from;
  double m_cpu_from = 0;
  std::pair<uint64_t, uint64_t> m_traffic_from;
  MonoTime m_written_at;
  size_t m_held = 0;
  Microseconds m_held_after = kNotSeen;
  Microseconds m_confirmed_after = kNotSeen;
  size_t m_victim = SIZE_MAX;
  MonoTime m_killed_at;
  size_t m_detected = 0;
  Microseconds m_detected_first = kNotSeen;
  Microseconds m_detected_by_all = kNotSeen;
};

// 10 s to warm up, then 60 s measured: an edit after 20 s and a death after
// 40 s when the store is up.
void Measure(size_t members,
             const Scenario& scenario,
             const MembershipConfig& config) {
  Simulation simulation(members, scenario, config);
  simulation.RunFor(10 * kSecond);
  if (!scenario.m_store_up) {
    simulation.StopStore();
  }
  if (scenario.m_zone_lost) {
    simulation.LoseZone();
  }
  simulation.StartMeasuring();
  simulation.RunFor(20 * kSecond);
  if (scenario.m_store_up) {
    simulation.Edit();
  }
  simulation.RunFor(20 * kSecond);
  if (scenario.m_store_up) {
    simulation.KillAt(members - 1);
  }
  simulation.RunFor(20 * kSecond);
  simulation.Print();
}

constexpr Scenario kScenarios[] = {
    {"store up"},
    {"store up, 1% loss", 1},
    {"store up, 5% loss", 5},
    {"store down", 0, false},
    {"store down, one zone of 6 lost", 0, false, true},
};

int Main(int argc, char** argv) {
  constexpr std::string_view kFactor = "--suspicion-factor=";
  constexpr std::string_view kLifetimeMs = "--lifetime-ms=";
  constexpr std::string_view kScenario = "--scenario=";
  MembershipConfig config;
  std::string_view only;
  std::vector<size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument.starts_with(kFactor)) {
      config.m_suspicion_factor = std::atof(argv[i] + kFactor.size());
    } else if (argument.starts_with(kLifetimeMs)) {
      config.m_proof_lifetime =
          Milliseconds(std::atoll(argv[i] + kLifetimeMs.size()));
    } else if (argument.starts_with(kScenario)) {
      only = argument.substr(kScenario.size());
    } else {
      sizes.push_back(static_cast<size_t>(std::atoll(argv[i])));
    }
  }
  if (sizes.empty()) {
    sizes = {11, 100, 600};
  }
  for (const size_t members : sizes) {
    if (members <= kEntries || members > 60'000) {
      std::fprintf(stderr, "MEMBERS must be within 7 to 60000\n");
      return 1;
    }
    for (const Scenario& scenario : kScenarios) {
      if (only.empty() || only == scenario.m_name) {
        Measure(members, scenario, config);
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace comfreyshift

int main(int argc, char** argv) {
  return comfreyshift::Main(argc, argv);
}
