#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "tests/membership/fake_fleet.h"

namespace comfreyshift {
namespace {

constexpr std::chrono::seconds kLifetime{5};

// A fault or an edit, drawn by RapidCheck.
using Operation = std::pair<uint8_t, uint32_t>;

// What a run showed, so that a check that never had work is noticed.
struct Seen {
  int m_confirmed_writes = 0;
  int m_frozen_starts = 0;
};

// Fails when a process holds a proof of a revision beyond the time when it is
// out of force, even if that time is still to come: the process could be paused
// until then.
void CheckNoStaleStart(FakeFleet& network, Seen& seen) {
  for (size_t i = 0; i < network.processes().size(); ++i) {
    const Membership& membership = *network.processes()[i].m_membership;
    const MonoTime local = network.LocalAt(i, network.now());
    if (membership.MayStart(local) &&
        membership.StateAt(local) == ProofState::kFrozen) {
      ++seen.m_frozen_starts;
    }
    const Revision applied = membership.applied_revision();
    if (applied >= network.written().size()) {
      continue;
    }
    const FakeFleet::Written& next = network.written()[applied];
    const MonoTime store_end = network.LocalAt(i, next.m_at + kLifetime);
    if (membership.StoreProofUntil() > store_end) {
      RC_FAIL("process " + std::to_string(i) + " holds a store proof of " +
              std::to_string(applied) + " more than 5 s after revision " +
              std::to_string(applied + 1) + " was written");
    }
    if (next.m_confirmed_at != MonoTime::max() &&
        membership.MayStart(
            network.LocalAt(i, next.m_confirmed_at + kLifetime))) {
      RC_FAIL("process " + std::to_string(i) + " may start by revision " +
              std::to_string(applied) + " 5 s after revision " +
              std::to_string(applied + 1) + " was confirmed");
    }
  }
}

// Returns the running processes that `mask` selects, and all entries.
std::vector<Member> Subset(FakeFleet& network, uint32_t mask) {
  std::vector<Member> members;
  for (size_t i = 0; i < network.processes().size(); ++i) {
    if (i < network.m_options.m_entries || (mask >> i & 1U) != 0) {
      members.push_back(network.processes()[i].m_member);
    }
  }
  return members;
}

void Perform(FakeFleet& network, const Operation& operation) {
  const uint32_t argument = operation.second;
  std::vector<FakeFleet::Process>& processes = network.processes();
  const size_t i = argument % processes.size();
  switch (operation.first % 9) {
    case 0:
      network.Write(argument % 2, nullptr);
      break;
    case 1: {
      const std::vector<Member> members = Subset(network, argument >> 4);
      network.Write(argument % 2, &members);
      break;
    }
    case 2:
      processes[i].m_paused_until =
          network.now() + Milliseconds(argument / 16 % 12'000);
      break;
    case 3:
      for (size_t p = 0; p < processes.size(); ++p) {
        processes[p].m_side = static_cast<int>(argument >> p & 1U);
      }
      break;
    case 4:
      for (FakeFleet::Process& process : processes) {
        process.m_side = 0;
      }
      break;
    case 5:
      network.m_store_up = !network.m_store_up;
      break;
    case 6:
      network.Start(i);
      break;
    case 7:
      processes[i].m_fetches = !processes[i].m_fetches;
      break;
    default:
      network.m_options.m_loss = argument % 30;
      network.m_options.m_max_delay = Milliseconds(1 + argument % 1'500);
      break;
  }
}

// The rule that every "within seconds" guarantee rests on: F after a revision
// is confirmed, no process starts work by an older one, whatever was paused,
// cut, lost, delayed, repeated or restarted.
TEST(SoundnessTest, NoProcessStartsByARevisionOutOfForce) {
  Seen seen;
  const bool passed = rc::check("no stale start", [&seen] {
    const auto operations = *rc::gen::arbitrary<std::vector<Operation>>();
    FakeNetworkOptions options;
    options.m_seed = *rc::gen::arbitrary<uint64_t>();
    options.m_agents = 3 + options.m_seed % 6;
    options.m_duplicates = 5;
    FakeFleet network(options);
    const auto check = [&] { CheckNoStaleStart(network, seen); };
    network.RunUntil(network.now() + std::chrono::seconds(3), check);
    for (const Operation& operation : operations) {
      Perform(network, operation);
      const Milliseconds wait(operation.second / 64 % 1'500);
      network.RunUntil(network.now() + wait, check);
    }
    network.RunUntil(network.now() + std::chrono::seconds(12), check);
    for (const FakeFleet::Written& written : network.written()) {
      seen.m_confirmed_writes +=
          written.m_confirmed_at == MonoTime::max() ? 0 : 1;
    }
  });
  EXPECT_TRUE(passed);
  EXPECT_GT(seen.m_confirmed_writes, 100);
  EXPECT_GT(seen.m_frozen_starts, 100);
}

}  // namespace
}  // namespace comfreyshift
