#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <set>
#include <string>
#include <vector>

#include "tests/membership/fake_fleet.h"

namespace comfreyshift {
namespace {

constexpr std::chrono::seconds kSecond{1};

FakeNetworkOptions MakeOptions(uint64_t seed, size_t agents) {
  FakeNetworkOptions options;
  options.m_seed = seed;
  options.m_agents = agents;
  options.m_max_delay = Milliseconds(90);
  return options;
}

size_t CountMayStart(FakeFleet& network, int side) {
  size_t count = 0;
  for (size_t i = 0; i < network.processes().size(); ++i) {
    const FakeFleet::Process& process = network.processes()[i];
    if (process.m_side == side &&
        process.m_membership->MayStart(network.LocalAt(i, network.now()))) {
      ++count;
    }
  }
  return count;
}

// Guards against declaring a reachable member dead. Without loss only a paused
// process may be declared dead: delays below the ack timeout, or timeouts that
// expired while the observer itself was paused, must not cause it.
TEST(LivenessTest, NoReachableMemberIsDeclaredDead) {
  EXPECT_TRUE(rc::check("no false death", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    FakeFleet network(MakeOptions(seed, 3 + seed % 10));
    const size_t paused = seed / 16 % network.processes().size();
    const ProcessId paused_id = network.processes()[paused].m_member.m_id;
    network.m_on_event = [&](size_t, const MembershipEvent& event) {
      const auto* dead = std::get_if<MemberDead>(&event);
      const bool allowed = dead == nullptr || dead->m_id == paused_id;
      RC_ASSERT(allowed);
    };
    network.RunUntil(network.now() + 3 * kSecond, [] {});
    network.processes()[paused].m_paused_until =
        network.now() + Milliseconds(seed / 256 % 10'000);
    network.RunUntil(network.now() + 20 * kSecond, [] {});
  }));
}

// Guards against a process that still holds a proof when a long pause ends,
// before any datagram arrives.
TEST(LivenessTest, APausedProcessHoldsNoProofOnWaking) {
  FakeFleet network(MakeOptions(3, 7));
  network.RunUntil(network.now() + 5 * kSecond, [] {});
  EXPECT_EQ(CountMayStart(network, 0), 9U);
  network.processes()[4].m_paused_until = network.now() + 6 * kSecond;
  network.RunUntil(network.now() + Milliseconds(5'900), [] {});
  EXPECT_FALSE(network.processes()[4].m_membership->MayStart(
      network.LocalAt(4, network.now())));
  EXPECT_EQ(CountMayStart(network, 0), 8U);
  // Datagrams queued during the pause must not be dated from when they are
  // read. The next pings bring a new proof.
  network.RunUntil(network.now() + 3 * kSecond, [] {});
  EXPECT_EQ(CountMayStart(network, 0), 9U);
}

// Guards the upper bound on failure detection, which every takeover waits for.
TEST(LivenessTest, ADeadMemberIsDeclaredDeadByAllWithinTheBound) {
  EXPECT_TRUE(rc::check("detection", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    FakeFleet network(MakeOptions(seed, 3 + seed % 10));
    const size_t count = network.processes().size();
    const size_t victim = seed / 16 % count;
    const ProcessId victim_id = network.processes()[victim].m_member.m_id;
    std::set<size_t> detected;
    network.m_on_event = [&](size_t i, const MembershipEvent& event) {
      const auto* dead = std::get_if<MemberDead>(&event);
      if (dead != nullptr && dead->m_id == victim_id) {
        detected.insert(i);
      }
    };
    network.RunUntil(network.now() + 3 * kSecond, [] {});
    network.processes()[victim].m_up = false;
    // In ping periods: two rounds until some member pings it, 3 for both probe
    // timeouts, the suspicion, and 5 until the last member has heard of it.
    const double periods = 2.0 * static_cast<double>(count) + 3 +
                           2 * std::log2(static_cast<double>(count) + 1) + 5;
    const Milliseconds bound(std::llround(200 * periods));
    network.RunUntil(network.now() + bound, [] {});
    RC_ASSERT(detected.size() == count - 1);
  }));
}

// Guards against declaring a member dead that is partitioned for less than the
// suspicion, and against a member that stays dead after the partition ends.
TEST(LivenessTest, APartitionedMemberRefutesItsSuspicionAndDeath) {
  FakeFleet network(MakeOptions(9, 7));
  const ProcessId cut = network.processes()[4].m_member.m_id;
  size_t alive = 0;
  size_t dead = 0;
  network.m_on_event = [&](size_t i, const MembershipEvent& event) {
    const auto* refuted = std::get_if<MemberAlive>(&event);
    const auto* declared = std::get_if<MemberDead>(&event);
    if (i != 4) {
      alive += refuted != nullptr && refuted->m_id == cut ? 1 : 0;
      dead += declared != nullptr && declared->m_id == cut ? 1 : 0;
    }
  };
  network.RunUntil(network.now() + 3 * kSecond, [] {});
  network.processes()[4].m_side = 1;
  network.RunUntil(network.now() + Milliseconds(1'500), [] {});
  network.processes()[4].m_side = 0;
  network.RunUntil(network.now() + 10 * kSecond, [] {});
  // Probes that started during the partition may cause a second suspicion each.
  EXPECT_GE(alive, 8U);
  EXPECT_EQ(dead, 0U);
  network.processes()[4].m_side = 1;
  network.RunUntil(network.now() + 10 * kSecond, [] {});
  EXPECT_EQ(dead, 8U);
  EXPECT_EQ(network.processes()[5].m_membership->LiveMembers().size(), 7U);
  const size_t alive_before = alive;
  network.processes()[4].m_side = 0;
  network.RunUntil(network.now() + 30 * kSecond, [] {});
  EXPECT_GE(alive, alive_before + 8);
  for (const FakeFleet::Process& process : network.processes()) {
    EXPECT_EQ(process.m_membership->LiveMembers().size(), 8U);
  }
}

// Guards against declaring a member dead because a suspicion expired while the
// process that held it was paused and could not receive the refutation.
TEST(LivenessTest, ASuspicionDoesNotRunOutDuringAPause) {
  FakeFleet network(MakeOptions(13, 7));
  FakeFleet::Process& holder = network.processes()[5];
  FakeFleet::Process& suspect = network.processes()[4];
  bool suspected = false;
  network.m_on_event = [&](size_t i, const MembershipEvent& event) {
    if (i == 5 && !suspected &&
        std::holds_alternative<MemberSuspected>(event)) {
      suspected = true;
      suspect.m_side = 0;
      holder.m_paused_until = network.now() + 4 * kSecond;
    }
    const auto* dead = std::get_if<MemberDead>(&event);
    EXPECT_FALSE(dead != nullptr && dead->m_id == suspect.m_member.m_id);
  };
  network.RunUntil(network.now() + 3 * kSecond, [] {});
  suspect.m_side = 1;
  network.RunUntil(network.now() + 10 * kSecond, [] {});
  EXPECT_TRUE(suspected);
}

// Guards against suspicions caused by lost datagrams, which indirect probes
// must prevent. At 10% loss a ping fails in 19% of cases, and ping and indirect
// probes together in 1%.
TEST(LivenessTest, LossCausesFewSuspicions) {
  FakeNetworkOptions options = MakeOptions(11, 7);
  options.m_loss = 10;
  FakeFleet network(options);
  size_t suspected = 0;
  network.m_on_event = [&](size_t, const MembershipEvent& event) {
    suspected += std::holds_alternative<MemberSuspected>(event) ? 1 : 0;
  };
  network.RunUntil(network.now() + 60 * kSecond, [] {});
  // 2,700 pings are sent, and each suspicion reaches all 8 other processes.
  EXPECT_LT(suspected, 600U);
  // A deadline that an ack postponed must not be mistaken for a pause.
  for (const FakeFleet::Process& process : network.processes()) {
    EXPECT_EQ(process.m_membership->counters().m_pauses, 0U);
  }
}

// Guards against a minority that continues, or a majority that stops, when a
// network partition occurs in a store outage. The side with more than half of
// the witnesses must continue beyond the proof lifetime and the other one must
// stop (section 5 of the design page).
TEST(LivenessTest, OnlyTheMajorityContinuesInAStoreOutage) {
  FakeFleet network(MakeOptions(5, 7));
  network.RunUntil(network.now() + 3 * kSecond, [] {});
  network.m_store_up = false;
  network.RunUntil(network.now() + 20 * kSecond, [] {});
  EXPECT_EQ(CountMayStart(network, 0), 9U);
  for (const size_t i : {0, 2, 3, 4}) {
    network.processes()[i].m_side = 1;
  }
  network.RunUntil(network.now() + 6 * kSecond, [] {});
  EXPECT_EQ(CountMayStart(network, 1), 0U);
  EXPECT_EQ(CountMayStart(network, 0), 5U);
  EXPECT_FALSE(network.HasWitnessMajority(0));
  EXPECT_TRUE(network.HasWitnessMajority(1));
}

// Guards against a restarted process that starts work before the table lists
// its new incarnation, and against joins that no entry receives.
TEST(LivenessTest, ARestartedProcessWaitsForTheTable) {
  FakeFleet network(MakeOptions(7, 5));
  network.RunUntil(network.now() + 3 * kSecond, [] {});
  std::vector<Member> members = *network.written().back().m_members;
  bool listed = false;
  const MonoTime restarted_at = network.now();
  network.m_on_event = [&](size_t i, const MembershipEvent& event) {
    const auto* join = std::get_if<JoinRequested>(&event);
    const bool waited = network.now() > restarted_at + 2 * kSecond;
    if (join != nullptr && waited && !listed) {
      members[4] = join->m_member;
      listed = network.Write(i, &members);
    }
  };
  network.Start(4);
  const auto check = [&] {
    const bool may_start = network.processes()[4].m_membership->MayStart(
        network.LocalAt(4, network.now()));
    EXPECT_TRUE(!may_start || listed);
  };
  network.RunUntil(network.now() + 5 * kSecond, check);
  EXPECT_TRUE(listed);
  EXPECT_EQ(CountMayStart(network, 0), 7U);
}

}  // namespace
}  // namespace comfreyshift
