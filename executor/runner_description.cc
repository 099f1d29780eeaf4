#include "executor/runner_description.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace comfreyshift {

namespace {

// A claim takes the place of the one in force after this many heartbeats over
// this time. Runners send one about every 1,500 ms, so that the runner's own
// claim is heard in between.
constexpr uint32_t kMinRepetitions = 3;
constexpr Milliseconds kMinRepetitionTime{2000};
// Claims whose heartbeats are held.
constexpr size_t kMaxClaims = 16;

// Whether two heartbeats agree in what a start depends on besides the service.
bool HaveSamePlacement(const RunnerHeartbeat& one,
                       const RunnerHeartbeat& other) {
  return one.m_zone == other.m_zone && one.m_capacity == other.m_capacity &&
         one.m_labels == other.m_labels;
}

bool BelongToOneClaim(const RunnerHeartbeat& one,
                      const RunnerHeartbeat& other) {
  return one.m_service == other.m_service && one.m_address == other.m_address &&
         HaveSamePlacement(one, other);
}

}  // namespace

void RunnerDescription::Claim::Update(const RunnerHeartbeat& heartbeat,
                                      MonoTime now) {
  if (m_count == 0) {
    m_counted_since = now;
  }
  const bool was_draining = m_newest.m_is_draining;
  m_newest = heartbeat;
  m_newest.m_is_draining |= was_draining;
  ++m_count;
  m_heard_at = now;
}

bool RunnerDescription::Claim::IsRepeated() const {
  return m_count >= kMinRepetitions &&
         m_heard_at >= m_counted_since + kMinRepetitionTime;
}

RunnerDescription::Claim& RunnerDescription::AddClaim(
    const RunnerHeartbeat& heartbeat) {
  if (m_claims.size() >= kMaxClaims) {
    const auto dropped = std::ranges::min_element(
        std::next(m_claims.begin()), m_claims.end(), {},
        [](const Claim& claim) {
          return std::pair(claim.m_count, claim.m_heard_at);
        });
    m_claims.erase(dropped);
  }
  Claim& claim = m_claims.emplace_back();
  claim.m_newest = heartbeat;
  return claim;
}

bool RunnerDescription::Add(const RunnerHeartbeat& heartbeat, MonoTime now) {
  const auto known = std::ranges::find_if(m_claims, [&](const Claim& claim) {
    return BelongToOneClaim(claim.m_newest, heartbeat);
  });
  const bool is_known = known != m_claims.end();
  if (is_known && heartbeat.m_sequence <= known->m_newest.m_sequence) {
    // It may be the runner's own, and the number before that of another writer.
    const bool begins_draining =
        heartbeat.m_is_draining && !known->m_newest.m_is_draining;
    known->m_newest.m_is_draining |= heartbeat.m_is_draining;
    return begins_draining && known == m_claims.begin();
  }
  Claim& claim = is_known ? *known : AddClaim(heartbeat);
  claim.Update(heartbeat, now);
  if (&claim == &m_claims.front()) {
    for (auto other = std::next(m_claims.begin()); other != m_claims.end();
         ++other) {
      other->m_count = 0;
    }
    return true;
  }
  if (!claim.IsRepeated()) {
    return false;
  }
  m_claims = {Claim(claim)};
  return true;
}

RunnerHeartbeat RunnerDescription::Current() const {
  RunnerHeartbeat current = m_claims.front().m_newest;
  // While the claim in force may be that of another writer, the runner's own
  // heartbeat may be held in another one. No start may follow a draining
  // that was acknowledged.
  if (!m_claims.front().IsRepeated()) {
    current.m_is_draining = std::ranges::any_of(
        m_claims,
        [](const Claim& claim) { return claim.m_newest.m_is_draining; });
  }
  return current;
}

bool RunnerDescription::is_disputed() const {
  return !m_claims.empty() && !m_claims.front().IsRepeated() &&
         std::ranges::any_of(m_claims, [this](const Claim& claim) {
           return !HaveSamePlacement(claim.m_newest, m_claims.front().m_newest);
         });
}

bool RunnerDescription::Includes(const RunnerHeartbeat& heartbeat) const {
  if (m_claims.empty()) {
    return false;
  }
  const RunnerHeartbeat current = Current();
  if (current.m_is_draining != heartbeat.m_is_draining) {
    return false;
  }
  return heartbeat.m_is_draining || BelongToOneClaim(current, heartbeat);
}

}  // namespace comfreyshift
