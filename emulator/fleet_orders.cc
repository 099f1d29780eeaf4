#include "emulator/fleet_emulation.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "emulator/fleet_processes.h"

// The orders of agents to their runners, their loss, and their answers.

namespace comfreyshift {

namespace {

// Late orders are carried out after this time at least, and after
// kMaxLateFactor times that at most.
constexpr Microseconds kMinLateDelay{2'000'000};
constexpr int64_t kMaxLateFactor = 4;

}  // namespace

bool FleetEmulation::IsOrderLost() {
  return m_now < m_order_loss_until && std::uniform_real_distribution<double>(
                                           0.0, 1.0)(m_random) < m_order_loss;
}

Microseconds FleetEmulation::LateDelay() {
  return kMinLateDelay +
         Microseconds(static_cast<int64_t>(
             m_random() % static_cast<uint64_t>((kMaxLateFactor - 1) *
                                                kMinLateDelay.count())));
}

void FleetEmulation::Order(size_t index, const StartRequest& order) {
  const uint64_t life = m_agents[index]->m_process_incarnation;
  const bool is_lost = IsOrderLost();
  const Microseconds delay = is_lost ? LateDelay() : m_options.m_order_delay;
  Post(m_now + delay, [this, index, life, order, is_lost]() {
    Agent& agent = *m_agents[index];
    const StartResult answer = agent.m_runner->Start(order, m_now);
    CheckDoubleRuns();
    WatchRunner(index);
    if (!is_lost && agent.m_process_incarnation == life) {
      agent.m_executor->OnStartRunResult(order.m_process_incarnation,
                                         order.m_run, answer, m_now);
      WakeAgent(index);
    }
  });
  if (is_lost) {
    Post(order.m_give_up_at, [this, index, life, order]() {
      if (m_agents[index]->m_process_incarnation == life) {
        m_agents[index]->m_executor->OnStartRunResult(
            order.m_process_incarnation, order.m_run, StartResult::kUnknown,
            m_now);
        WakeAgent(index);
      }
    });
  }
}

void FleetEmulation::Order(size_t index, const StopRequest& order) {
  const uint64_t life = m_agents[index]->m_process_incarnation;
  const bool is_lost = IsOrderLost();
  const Microseconds delay = is_lost ? LateDelay() : m_options.m_order_delay;
  if (is_lost) {
    Post(order.m_give_up_at, [this, index, life, order]() {
      if (m_agents[index]->m_process_incarnation == life) {
        m_agents[index]->m_executor->OnStopRunResult(
            order.m_process_incarnation, order.m_run, StopResult::kUnknown,
            m_now);
        WakeAgent(index);
      }
    });
  }
  Post(m_now + delay, [this, index, life, order, is_lost]() {
    Agent& agent = *m_agents[index];
    const StopResult answer = agent.m_runner->Stop(order, m_now);
    WatchRunner(index);
    if (!is_lost && agent.m_process_incarnation == life) {
      agent.m_executor->OnStopRunResult(order.m_process_incarnation,
                                        order.m_run, answer, m_now);
      WakeAgent(index);
    }
  });
}

void FleetEmulation::Order(size_t index, const PollRequest& order) {
  const uint64_t life = m_agents[index]->m_process_incarnation;
  if (IsOrderLost()) {
    Post(order.m_give_up_at, [this, index, life, order]() {
      if (m_agents[index]->m_process_incarnation == life) {
        m_agents[index]->m_executor->OnPollResult(
            order.m_process_incarnation, PollFailure::kNoResponse, m_now);
        WakeAgent(index);
      }
    });
    return;
  }
  Post(m_now + m_options.m_order_delay, [this, index, life, order]() {
    Agent& agent = *m_agents[index];
    // The call renews the lease when it arrives, whenever it is answered.
    agent.m_runner->Look(order, m_now);
    agent.m_looks.push_back({life, order});
    Post(order.m_answer_by, [this, index]() { WatchRunner(index); });
    WatchRunner(index);
  });
}

// Answers looks that have something to tell, and comes back at the next end.
void FleetEmulation::WatchRunner(size_t index) {
  Agent& agent = *m_agents[index];
  agent.m_runner->Advance(m_now);
  auto looks = std::exchange(agent.m_looks, {});
  for (Agent::Waiting& look : looks) {
    if (agent.m_runner->has_news() || look.m_order.m_answer_by <= m_now) {
      AnswerLook(index, look.m_process_incarnation, look.m_order);
    } else {
      agent.m_looks.push_back(std::move(look));
    }
  }
  const MonoTime next = agent.m_runner->NextEnd();
  if (next != MonoTime::max() &&
      (next < agent.m_watch_at || agent.m_watch_at <= m_now)) {
    agent.m_watch_at = std::max(next, m_now + Microseconds(1));
    Post(agent.m_watch_at, [this, index]() { WatchRunner(index); });
  }
}

void FleetEmulation::AnswerLook(size_t index,
                                uint64_t life,
                                const PollRequest& order) {
  const auto answer = m_agents[index]->m_runner->Look(order, m_now);
  Post(m_now + m_options.m_order_delay, [this, index, life, order, answer]() {
    Agent& agent = *m_agents[index];
    if (agent.m_process_incarnation != life) {
      return;
    }
    const MonoTime at = std::max(m_now, agent.m_frozen_until);
    if (at > m_now) {
      Post(at, [this, index, life, order, answer]() {
        if (m_agents[index]->m_process_incarnation == life) {
          m_agents[index]->m_executor->OnPollResult(order.m_process_incarnation,
                                                    answer, m_now);
          WakeAgent(index);
        }
      });
      return;
    }
    agent.m_executor->OnPollResult(order.m_process_incarnation, answer, m_now);
    WakeAgent(index);
  });
}

void FleetEmulation::CheckDoubleRuns() {
  std::set<TaskKey> working;
  for (const auto& agent : m_agents) {
    agent->m_runner->Advance(m_now);
    for (const TaskKey& task : agent->m_runner->Working()) {
      if (!working.insert(task).second) {
        ++m_double_runs;
      }
    }
  }
}

}  // namespace comfreyshift
