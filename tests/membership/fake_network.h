#ifndef TESTS_MEMBERSHIP_FAKE_NETWORK_H_
#define TESTS_MEMBERSHIP_FAKE_NETWORK_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"
#include "membership/random.h"

namespace comfreyshift {

struct FakeNetworkOptions {
  size_t m_entries = 2;
  size_t m_agents = 7;
  uint64_t m_seed = 1;
  Milliseconds m_max_delay{20};
  // Probabilities in percent, for each datagram.
  uint64_t m_loss = 0;
  uint64_t m_duplicates = 0;
};

// Several Membership instances and a simulated network that delays, reorders,
// duplicates and loses datagrams and can be partitioned. The processes' clocks
// have different offsets and rates that are 500 ppm too low or too high.
// Process i has address 10.0.0.1:(1 + i); the first ones are entries.
class FakeNetwork {
 public:
  struct Process {
    Member m_member;
    std::unique_ptr<Membership> m_membership;
    bool m_up = true;
    Microseconds m_clock_offset{0};
    double m_clock_rate = 1;
    MonoTime m_paused_until;
    // Processes on different sides of a network partition cannot reach each
    // other.
    int m_side = 0;
    // Whether it can read and write the store and fetch revisions from peers.
    bool m_can_fetch = true;
  };

  explicit FakeNetwork(const FakeNetworkOptions& options)
      : m_options(options),
        m_random(options.m_seed),
        m_processes(options.m_entries + options.m_agents) {
    for (size_t i = 0; i < m_processes.size(); ++i) {
      Start(i);
    }
  }

  virtual ~FakeNetwork() = default;

  // Starts process `i` as a new incarnation that knows only the entries.
  void Start(size_t i) {
    Process& process = m_processes[i];
    const Address address{"10.0.0.1", static_cast<uint16_t>(1 + i)};
    const std::string number = std::to_string(i);
    const bool entry = i < m_options.m_entries;
    process.m_member = {{"p" + number, ++m_incarnation},
                        entry ? MemberRole::kEntry : MemberRole::kAgent,
                        address,
                        address,
                        "zone-" + std::to_string(i % 3),
                        "rack-" + number,
                        "worker-" + number,
                        ""};
    process.m_clock_offset = Milliseconds(m_random.Below(1'000'000));
    process.m_clock_rate = m_random.Below(2) == 0 ? 0.9995 : 1.0005;
    process.m_membership = std::make_unique<Membership>(
        MembershipConfig{.m_fleet_key = "key"}, process.m_member, m_random(),
        LocalAt(i, m_now));
    process.m_membership->SetSeeds({{"10.0.0.1", 1}, {"10.0.0.1", 2}});
  }

  // Returns the reading of process `i`'s clock at the simulated time `at`.
  MonoTime LocalAt(size_t i, MonoTime at) const {
    const auto elapsed = static_cast<double>(at.time_since_epoch().count());
    const Process& process = m_processes[i];
    return MonoTime(Microseconds(
               static_cast<int64_t>(elapsed * process.m_clock_rate))) +
           process.m_clock_offset;
  }

  bool HasWitnessMajority(size_t i) const {
    return m_processes[i].m_membership->HasWitnessMajority(LocalAt(i, m_now));
  }

  // Simulates everything up to `end`, calling `check` after each step.
  void RunUntil(MonoTime end, const std::function<void()>& check) {
    while (true) {
      MonoTime next = m_queue.empty() ? end : m_queue.begin()->first;
      for (size_t i = 0; i < m_processes.size(); ++i) {
        next = std::min(next, WakeTime(i));
      }
      m_now = std::max(m_now, std::min(next, end));
      if (next >= end) {
        return;
      }
      Step();
      check();
    }
  }

  std::vector<Process>& processes() { return m_processes; }
  MonoTime now() const { return m_now; }

  FakeNetworkOptions m_options;

 protected:
  virtual void OnEvent(size_t i, const MembershipEvent& event) = 0;

  // Runs `action` on process `i` at `at`, or when its pause ends if that is
  // later. Does nothing if the process is down then.
  void RunLater(MonoTime at, size_t i, std::function<void()> action) {
    m_queue.emplace(at, [this, i, action = std::move(action)]() mutable {
      const Process& process = m_processes[i];
      if (process.m_paused_until > m_now) {
        // After a pause a process handles its own timeouts before the datagrams
        // that arrived during it.
        RunLater(process.m_paused_until + Microseconds(1), i,
                 std::move(action));
      } else if (process.m_up) {
        action();
        DeliverOutput(i);
      }
    });
  }

  Microseconds Delay() {
    const Microseconds most = m_options.m_max_delay;
    return Microseconds(1 +
                        m_random.Below(static_cast<uint64_t>(most.count())));
  }

 private:
  MonoTime WakeTime(size_t i) const {
    const Process& process = m_processes[i];
    if (!process.m_up) {
      return MonoTime::max();
    }
    const MonoTime local =
        process.m_membership->NextDeadline() - process.m_clock_offset;
    const auto elapsed = static_cast<double>(local.time_since_epoch().count());
    const MonoTime at(
        Microseconds(1 + static_cast<int64_t>(elapsed / process.m_clock_rate)));
    return std::max(at, process.m_paused_until);
  }

  void Step() {
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
      const std::function<void()> action = std::move(m_queue.begin()->second);
      m_queue.erase(m_queue.begin());
      action();
    }
    for (size_t i = 0; i < m_processes.size(); ++i) {
      if (WakeTime(i) <= m_now) {
        m_processes[i].m_membership->Tick(LocalAt(i, m_now));
        DeliverOutput(i);
      }
    }
  }

  void DeliverOutput(size_t i) {
    Membership& membership = *m_processes[i].m_membership;
    for (const MembershipEvent& event : membership.TakeEvents()) {
      OnEvent(i, event);
    }
    for (const OutboundDatagram& datagram : membership.TakeDatagrams()) {
      Transmit(i, datagram);
      if (m_random.Below(100) < m_options.m_duplicates) {
        Transmit(i, datagram);
      }
    }
  }

  void Transmit(size_t from, const OutboundDatagram& datagram) {
    const size_t to = datagram.m_to.m_port - 1;
    if (m_random.Below(100) < m_options.m_loss ||
        m_processes[from].m_side != m_processes[to].m_side) {
      return;
    }
    const Address address = m_processes[from].m_member.m_datagram_address;
    RunLater(m_now + Delay(), to, [this, to, address, b = datagram.m_bytes] {
      m_processes[to].m_membership->OnDatagram(LocalAt(to, m_now), address, b);
    });
  }

  SplitMix64 m_random;
  MonoTime m_now{std::chrono::seconds(10)};
  uint64_t m_incarnation = 0;
  std::vector<Process> m_processes;
  std::multimap<MonoTime, std::function<void()>> m_queue;
};

}  // namespace comfreyshift

#endif  // TESTS_MEMBERSHIP_FAKE_NETWORK_H_
