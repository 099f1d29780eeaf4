#include "placement/fair_queue.h"

#include <algorithm>

namespace comfreyshift {

uint32_t FairQueue::IndexOf(const std::string& client) {
  const auto [found, added] =
      m_index.emplace(client, static_cast<uint32_t>(m_clients.size()));
  if (added) {
    m_clients.emplace_back();
  }
  return found->second;
}

void FairQueue::SetWeight(const std::string& client, double weight) {
  const uint32_t index = IndexOf(client);
  Client& state = m_clients[index];
  if (!state.m_jobs.empty()) {
    m_active_weight += weight - state.m_weight;
  }
  state.m_weight = weight;
}

void FairQueue::Activate(uint32_t index) {
  Client& state = m_clients[index];
  // An idle client earns no credit for the time without queued jobs.
  state.m_start_tag = std::max(state.m_start_tag, m_virtual_time);
  m_active_clients.insert({state.m_start_tag, index});
  m_active_weight += state.m_weight;
}

void FairQueue::Deactivate(uint32_t index) {
  const Client& state = m_clients[index];
  m_active_clients.erase({state.m_start_tag, index});
  m_active_weight -= state.m_weight;
}

void FairQueue::Push(const std::string& client, const QueuedJob& job) {
  const uint32_t index = IndexOf(client);
  Client& state = m_clients[index];
  if (state.m_jobs.empty()) {
    Activate(index);
  }
  state.m_jobs.push_back(job);
  state.m_tasks += job.m_tasks;
  m_tasks += job.m_tasks;
  m_jobs.emplace(job.m_ticket,
                 QueuePosition{index, std::prev(state.m_jobs.end())});
}

const QueuedJob* FairQueue::Front() const {
  return m_active_clients.empty()
             ? nullptr
             : &m_clients[m_active_clients.begin()->second].m_jobs.front();
}

std::optional<QueuedJob> FairQueue::Pop() {
  if (m_active_clients.empty()) {
    return std::nullopt;
  }
  const uint32_t index = m_active_clients.begin()->second;
  Client& state = m_clients[index];
  m_virtual_time = state.m_start_tag;
  const QueuedJob job = state.m_jobs.front();
  Deactivate(index);
  state.m_start_tag += job.m_tasks / state.m_weight;
  state.m_jobs.pop_front();
  state.m_tasks -= job.m_tasks;
  m_tasks -= job.m_tasks;
  m_jobs.erase(job.m_ticket);
  if (!state.m_jobs.empty()) {
    Activate(index);
  }
  return job;
}

bool FairQueue::Remove(TicketId ticket) {
  const auto found = m_jobs.find(ticket);
  if (found == m_jobs.end()) {
    return false;
  }
  const QueuePosition place = found->second;
  m_jobs.erase(found);
  Client& state = m_clients[place.m_client];
  state.m_tasks -= place.m_job->m_tasks;
  m_tasks -= place.m_job->m_tasks;
  state.m_jobs.erase(place.m_job);
  if (state.m_jobs.empty()) {
    Deactivate(place.m_client);
  }
  return true;
}

uint64_t FairQueue::TasksOf(const std::string& client) const {
  const auto found = m_index.find(client);
  return found == m_index.end() ? 0 : m_clients[found->second].m_tasks;
}

double FairQueue::ShareOf(const std::string& client) const {
  const auto found = m_index.find(client);
  const bool known = found != m_index.end();
  const double weight = known ? m_clients[found->second].m_weight : 1;
  const bool active = known && !m_clients[found->second].m_jobs.empty();
  return weight / (active ? m_active_weight : m_active_weight + weight);
}

}  // namespace comfreyshift
