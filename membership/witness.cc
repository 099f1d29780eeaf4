#include "membership/witness.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace comfreyshift {
namespace {

struct Candidate {
  const Member* m_member = nullptr;
  uint64_t m_score = 0;
  // Rank among the candidates of its rack, then of its zone, then of all.
  size_t m_position = 0;
};

using Group = std::pair<std::string_view, std::string_view>;

// Sorts the candidates by position, score and id, and then sets each position
// to the candidate's rank within the group that `group_of` returns.
template <class GroupOf>
void RankWithin(std::vector<Candidate>& candidates, GroupOf group_of) {
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.m_position, a.m_score, a.m_member->m_id) <
                     std::tie(b.m_position, b.m_score, b.m_member->m_id);
            });
  std::map<Group, size_t> counts;
  for (Candidate& candidate : candidates) {
    candidate.m_position = counts[group_of(*candidate.m_member)]++;
  }
}

std::vector<Candidate> Candidates(const std::vector<Member>& members) {
  std::vector<Candidate> candidates;
  for (const Member& member : members) {
    if (member.m_role == MemberRole::kAgent) {
      candidates.push_back({&member, MakeProcessKey(member.m_id), 0});
    }
  }
  return candidates;
}

}  // namespace

std::vector<ProcessId> SelectWitnesses(const std::vector<Member>& members) {
  std::vector<Candidate> candidates = Candidates(members);
  RankWithin(candidates,
             [](const Member& m) { return Group(m.m_zone, m.m_rack); });
  RankWithin(candidates, [](const Member& m) { return Group(m.m_zone, ""); });
  RankWithin(candidates, [](const Member&) { return Group(); });
  size_t count = std::min(candidates.size(), kMaxWitnesses);
  if (count % 2 == 0 && count > 0) {
    --count;
  }
  std::vector<ProcessId> witnesses;
  witnesses.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    witnesses.push_back(candidates[i].m_member->m_id);
  }
  std::sort(witnesses.begin(), witnesses.end());
  return witnesses;
}

uint64_t HashWitnesses(const std::vector<ProcessKey>& keys,
                       Microseconds age_unit) {
  const uint64_t hash =
      XXH3_64bits_withSeed(keys.data(), keys.size() * sizeof(ProcessKey),
                           static_cast<uint64_t>(age_unit.count()));
  return hash == 0 ? 1 : hash;
}

}  // namespace comfreyshift
