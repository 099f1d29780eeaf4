#include "executor/runner_description.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace comfreyshift {

namespace {

// A service takes the place of the one in force after this many heartbeats over
// this time. Runners send one about every 1,500 ms, so that the runner's own
// service is heard in between.
constexpr uint32_t kMinRepetitions = 3;
constexpr Milliseconds kMinRepetitionTime{2000};
// Services whose heartbeats are held.
constexpr size_t kMaxServices = 16;

}  // namespace

void RunnerDescription::Claim::Update(const RunnerHeartbeat& heartbeat,
                                      MonoTime now) {
  if (m_count == 0) {
    m_counted_since = now;
  }
  m_newest = heartbeat;
  ++m_count;
  m_heard_at = now;
}

bool RunnerDescription::Claim::IsRepeated() const {
  return m_count >= kMinRepetitions &&
         m_heard_at >= m_counted_since + kMinRepetitionTime;
}

RunnerDescription::Claim& RunnerDescription::AddClaim(
    const RunnerHeartbeat& heartbeat) {
  if (m_claims.size() >= kMaxServices) {
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
  const auto known = std::ranges::find(
      m_claims, heartbeat.m_service,
      [](const Claim& claim) { return claim.m_newest.m_service; });
  const bool is_known = known != m_claims.end();
  if (is_known && heartbeat.m_sequence <= known->m_newest.m_sequence) {
    return false;
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
  // While the service in force may be that of another writer, the runner's own
  // heartbeat may be held under another one. No start may follow a draining
  // that was acknowledged.
  if (!m_claims.front().IsRepeated()) {
    current.m_is_draining = std::ranges::any_of(
        m_claims,
        [](const Claim& claim) { return claim.m_newest.m_is_draining; });
  }
  return current;
}

}  // namespace comfreyshift
