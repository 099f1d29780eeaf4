#include "fleet/store_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace comfreyshift {

RelayRead StoreRelay::CreateRead(const std::string& agent,
                                 const std::string& request,
                                 MonoTime give_up_at,
                                 StoreResponseFunction on_response) {
  const uint64_t id = m_next_id++;
  m_pending_reads[id] = {agent, give_up_at, std::move(on_response)};
  return {id, request, give_up_at};
}

void StoreRelay::OnRelayAnswer(RelayAnswer response) {
  auto pending_read = m_pending_reads.extract(response.m_id);
  if (pending_read.empty()) {
    return;
  }
  const std::string& agent = pending_read.mapped().m_agent;
  if (response.m_is_answered) {
    m_failed_agents.erase(agent);
  } else {
    m_failed_agents.insert(agent);
  }
  pending_read.mapped().m_on_response(
      response.m_is_answered
          ? std::optional(StoreResponse{response.m_status,
                                        std::move(response.m_body), agent})
          : std::nullopt);
}

template <class Predicate>
void StoreRelay::FailIf(Predicate is_failed) {
  std::vector<StoreResponseFunction> failed;
  std::erase_if(m_pending_reads, [&](auto& item) {
    const bool fails = is_failed(item.second);
    if (fails) {
      m_failed_agents.insert(item.second.m_agent);
      failed.push_back(std::move(item.second.m_on_response));
    }
    return fails;
  });
  // Called after the erasure, because a callback may start another read.
  for (const StoreResponseFunction& on_response : failed) {
    on_response(std::nullopt);
  }
}

void StoreRelay::OnAgentLost(const std::string& agent) {
  FailIf([&](const PendingRead& pending_read) {
    return pending_read.m_agent == agent;
  });
  m_failed_agents.erase(agent);
}

void StoreRelay::Expire(MonoTime now) {
  FailIf([&](const PendingRead& pending_read) {
    return pending_read.m_give_up_at <= now;
  });
}

MonoTime StoreRelay::NextDeadline() const {
  MonoTime next = MonoTime::max();
  for (const auto& [id, pending_read] : m_pending_reads) {
    next = std::min(next, pending_read.m_give_up_at);
  }
  return next;
}

}  // namespace comfreyshift
