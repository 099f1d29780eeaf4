#include "placement/placer.h"

#include <map>
#include <utility>

namespace comfreyshift {

Placer::Placer(uint64_t seed) : m_random(seed) {}

void Placer::SetTargets(MonoTime /*now*/,
                        std::vector<PlacementTarget> targets) {
  std::map<ProcessId, uint32_t> outstanding;
  for (size_t i = 0; i < m_targets.size(); ++i) {
    outstanding[m_targets[i].m_agent] = m_outstanding[i];
  }
  m_targets = std::move(targets);
  m_outstanding.assign(m_targets.size(), 0);
  for (size_t i = 0; i < m_targets.size(); ++i) {
    const auto found = outstanding.find(m_targets[i].m_agent);
    if (found != outstanding.end()) {
      m_outstanding[i] = found->second;
    }
  }
}

std::optional<TargetIndex> Placer::Choose(MonoTime /*now*/,
                                          const PlacementRequest& request) {
  std::optional<TargetIndex> best;
  const auto count = static_cast<TargetIndex>(m_targets.size());
  const TargetIndex first = count == 0 ? 0 : m_random() % count;
  for (TargetIndex step = 0; step < count; ++step) {
    const TargetIndex i = (first + step) % count;
    if (request.m_allowed != nullptr && !(*request.m_allowed)[i]) {
      continue;
    }
    // The ratio outstanding / slots is compared without a division.
    if (!best || uint64_t{m_outstanding[i]} * m_targets[*best].m_slots <
                     uint64_t{m_outstanding[*best]} * m_targets[i].m_slots) {
      best = i;
    }
  }
  return best;
}

void Placer::OnSent(MonoTime /*now*/, TargetIndex target) {
  ++m_outstanding[target];
}

void Placer::OnDone(MonoTime now,
                    TargetIndex target,
                    Microseconds /*run_time*/,
                    bool /*ok*/) {
  OnNotStarted(now, target);
}

void Placer::OnNotStarted(MonoTime /*now*/, TargetIndex target) {
  if (m_outstanding[target] > 0) {
    --m_outstanding[target];
  }
}

void Placer::OnLoad(MonoTime /*now*/,
                    TargetIndex /*target*/,
                    const LoadReport& /*load*/) {}

}  // namespace comfreyshift
