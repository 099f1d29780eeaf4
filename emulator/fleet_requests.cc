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

bool FleetEmulation::IsRequestLost() {
  return m_now < m_order_loss_until && std::uniform_real_distribution<double>(
                                           0.0, 1.0)(m_random) < m_order_loss;
}

Microseconds FleetEmulation::LateDelay() {
  return kMinLateDelay +
         Microseconds(static_cast<int64_t>(
             m_random() % static_cast<uint64_t>((kMaxLateFactor - 1) *
                                                kMinLateDelay.count())));
}

void FleetEmulation::SendRequest(size_t index, const StartRequest& request) {
  const uint64_t incarnation = m_agents[index]->m_process_incarnation;
  const bool is_lost = IsRequestLost();
  const Microseconds delay = is_lost ? LateDelay() : m_options.m_request_delay;
  Post(m_now + delay, [this, index, incarnation, request, is_lost]() {
    Agent& agent = *m_agents[index];
    const StartResult answer = agent.m_runner->Start(request, m_now);
    CheckDoubleRuns();
    WatchRunner(index);
    if (!is_lost && agent.m_process_incarnation == incarnation) {
      agent.m_executor->OnStartRunResult(request.m_process_incarnation,
                                         request.m_run, answer, m_now);
      WakeAgent(index);
    }
  });
  if (is_lost) {
    Post(request.m_give_up_at, [this, index, incarnation, request]() {
      if (m_agents[index]->m_process_incarnation == incarnation) {
        m_agents[index]->m_executor->OnStartRunResult(
            request.m_process_incarnation, request.m_run,
            StartResult::kNoResponse, m_now);
        WakeAgent(index);
      }
    });
  }
}

void FleetEmulation::SendRequest(size_t index, const StopRequest& request) {
  const uint64_t incarnation = m_agents[index]->m_process_incarnation;
  const bool is_lost = IsRequestLost();
  const Microseconds delay = is_lost ? LateDelay() : m_options.m_request_delay;
  if (is_lost) {
    Post(request.m_give_up_at, [this, index, incarnation, request]() {
      if (m_agents[index]->m_process_incarnation == incarnation) {
        m_agents[index]->m_executor->OnStopRunResult(
            request.m_process_incarnation, request.m_run, StopResult::kUnknown,
            m_now);
        WakeAgent(index);
      }
    });
  }
  Post(m_now + delay, [this, index, incarnation, request, is_lost]() {
    Agent& agent = *m_agents[index];
    const StopResult answer = agent.m_runner->Stop(request, m_now);
    WatchRunner(index);
    if (!is_lost && agent.m_process_incarnation == incarnation) {
      agent.m_executor->OnStopRunResult(request.m_process_incarnation,
                                        request.m_run, answer, m_now);
      WakeAgent(index);
    }
  });
}

void FleetEmulation::SendRequest(size_t index, const PollRequest& request) {
  const uint64_t incarnation = m_agents[index]->m_process_incarnation;
  if (IsRequestLost()) {
    Post(request.m_give_up_at, [this, index, incarnation, request]() {
      if (m_agents[index]->m_process_incarnation == incarnation) {
        m_agents[index]->m_executor->OnPollResult(
            request.m_process_incarnation, request.m_purpose, request.m_sent_at,
            PollFailure::kNoResponse, m_now);
        WakeAgent(index);
      }
    });
    return;
  }
  Post(m_now + m_options.m_request_delay,
       [this, index, incarnation, request]() {
         Agent& agent = *m_agents[index];
         // The call renews the lease when it arrives, whenever it is answered.
         agent.m_runner->Poll(request, m_now);
         agent.m_polls.push_back({incarnation, request});
         Post(request.m_answer_by, [this, index]() { WatchRunner(index); });
         WatchRunner(index);
       });
}

// Answers polls that have something to tell, and comes back at the next end.
void FleetEmulation::WatchRunner(size_t index) {
  Agent& agent = *m_agents[index];
  agent.m_runner->Advance(m_now);
  auto polls = std::exchange(agent.m_polls, {});
  for (Agent::Waiting& poll : polls) {
    if (agent.m_runner->has_news() || poll.m_request.m_answer_by <= m_now) {
      AnswerPoll(index, poll.m_process_incarnation, poll.m_request);
    } else {
      agent.m_polls.push_back(std::move(poll));
    }
  }
  const MonoTime next = agent.m_runner->NextEnd();
  if (next != MonoTime::max() &&
      (next < agent.m_watch_at || agent.m_watch_at <= m_now)) {
    agent.m_watch_at = std::max(next, m_now + Microseconds(1));
    Post(agent.m_watch_at, [this, index]() { WatchRunner(index); });
  }
}

void FleetEmulation::AnswerPoll(size_t index,
                                uint64_t incarnation,
                                const PollRequest& request) {
  const auto answer = m_agents[index]->m_runner->Poll(request, m_now);
  Post(m_now + m_options.m_request_delay,
       [this, index, incarnation, request, answer]() {
         Agent& agent = *m_agents[index];
         if (agent.m_process_incarnation != incarnation) {
           return;
         }
         const MonoTime at = std::max(m_now, agent.m_frozen_until);
         if (at > m_now) {
           Post(at, [this, index, incarnation, request, answer]() {
             if (m_agents[index]->m_process_incarnation == incarnation) {
               m_agents[index]->m_executor->OnPollResult(
                   request.m_process_incarnation, request.m_purpose,
                   request.m_sent_at, answer, m_now);
               WakeAgent(index);
             }
           });
           return;
         }
         agent.m_executor->OnPollResult(request.m_process_incarnation,
                                        request.m_purpose, request.m_sent_at,
                                        answer, m_now);
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
