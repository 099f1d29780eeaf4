#include "membership/witness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace comfreyshift {
namespace {

std::vector<Member> MakeAgents(size_t count, size_t zones, size_t racks) {
  std::vector<Member> members;
  for (size_t i = 0; i < count; ++i) {
    Member member;
    member.m_id = {"a" + std::to_string(i), 1};
    member.m_zone = "z" + std::to_string(i % zones);
    member.m_rack = "r" + std::to_string(i / zones % racks);
    members.push_back(member);
  }
  return members;
}

// Guards against an even number of witnesses, of which two halves could both
// lack or both claim a majority, and against entries as witnesses.
TEST(WitnessTest, TheNumberIsOddAndExcludesEntries) {
  for (const auto& [agents, expected] : {std::pair<size_t, size_t>{0, 0},
                                         {1, 1},
                                         {2, 1},
                                         {11, 11},
                                         {12, 11},
                                         {63, 63},
                                         {64, 63},
                                         {2'400, 63}}) {
    std::vector<Member> members = MakeAgents(agents, 4, 3);
    Member entry;
    entry.m_id = {"e", 1};
    entry.m_role = MemberRole::kEntry;
    members.push_back(entry);
    const std::vector<ProcessId> witnesses = SelectWitnesses(members);
    EXPECT_EQ(witnesses.size(), expected);
    EXPECT_EQ(std::count(witnesses.begin(), witnesses.end(), entry.m_id), 0);
  }
}

// Guards against witnesses concentrated in one zone or rack, whose loss would
// leave no majority.
TEST(WitnessTest, ZonesAndRacksHaveEqualShares) {
  std::vector<Member> members = MakeAgents(2'400, 6, 5);
  const std::vector<ProcessId> witnesses = SelectWitnesses(members);
  std::map<std::string, size_t> zones;
  std::map<std::string, size_t> racks;
  for (const Member& member : members) {
    if (std::binary_search(witnesses.begin(), witnesses.end(), member.m_id)) {
      ++zones[member.m_zone];
      ++racks[member.m_zone + member.m_rack];
    }
  }
  for (const auto& [zone, count] : zones) {
    EXPECT_GE(count, 10U) << zone;
    EXPECT_LE(count, 11U) << zone;
  }
  EXPECT_EQ(racks.size(), 30U);
  for (const auto& [rack, count] : racks) {
    EXPECT_LE(count, 3U) << rack;
  }
  std::reverse(members.begin(), members.end());
  EXPECT_EQ(SelectWitnesses(members), witnesses);
}

}  // namespace
}  // namespace comfreyshift
