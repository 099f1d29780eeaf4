#include "jobs/config.h"

#include <algorithm>

namespace comfreyshift {

namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

// Host names are compared without case (RFC 4343).
bool IsSameHost(std::string_view host, std::string_view other) {
  return std::ranges::equal(host, other, {}, ToLower, ToLower);
}

}  // namespace

const QueueConfig* FleetConfig::FindQueue(std::string_view host,
                                          std::string_view path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : m_queues) {
    const bool fits =
        IsSameHost(queue.m_host, host) && path.starts_with(queue.m_prefix);
    if (fits &&
        (best == nullptr || queue.m_prefix.size() > best->m_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueConfig* FleetConfig::FindQueue(std::string_view name) const {
  const auto found = std::ranges::find(m_queues, name, &QueueConfig::m_name);
  return found == m_queues.end() ? nullptr : &*found;
}

}  // namespace comfreyshift
