#include "fleet/store_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace comfreyshift {

RelayRead StoreRelay::Ask(const std::string& agent,
                          const std::string& request,
                          MonoTime give_up_at,
                          StoreAnswerFunction on_answer) {
  const uint64_t id = m_next_id++;
  m_waiting[id] = {agent, give_up_at, std::move(on_answer)};
  return {id, request, give_up_at};
}

void StoreRelay::OnAnswer(RelayAnswer answer) {
  auto waiting = m_waiting.extract(answer.m_id);
  if (waiting.empty()) {
    return;
  }
  waiting.mapped().m_on_answer(
      answer.m_is_answered ? std::optional(StoreAnswer{
                                 answer.m_status, std::move(answer.m_body)})
                           : std::nullopt);
}

template <class Predicate>
void StoreRelay::FailIf(Predicate is_failed) {
  std::vector<StoreAnswerFunction> failed;
  std::erase_if(m_waiting, [&](auto& item) {
    const bool fails = is_failed(item.second);
    if (fails) {
      failed.push_back(std::move(item.second.m_on_answer));
    }
    return fails;
  });
  // These may ask again.
  for (const StoreAnswerFunction& on_answer : failed) {
    on_answer(std::nullopt);
  }
}

void StoreRelay::OnAgentLost(const std::string& agent) {
  FailIf([&](const Waiting& waiting) { return waiting.m_agent == agent; });
}

void StoreRelay::Expire(MonoTime now) {
  FailIf([&](const Waiting& waiting) { return waiting.m_give_up_at <= now; });
}

MonoTime StoreRelay::NextDeadline() const {
  MonoTime next = MonoTime::max();
  for (const auto& [id, waiting] : m_waiting) {
    next = std::min(next, waiting.m_give_up_at);
  }
  return next;
}

}  // namespace comfreyshift
