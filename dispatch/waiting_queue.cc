#include "dispatch/waiting_queue.h"

#include <algorithm>

namespace comfreyshift {

uint32_t WaitingQueue::AddClass(const Job& job, const TaskSpec& spec) {
  const auto [found, inserted] = m_ids.try_emplace(
      TaskClass{job.m_client, spec.m_needs_accelerator, spec.m_memory_mb});
  if (!inserted) {
    return found->second;
  }
  if (m_free_ids.empty()) {
    m_free_ids.push_back(static_cast<uint32_t>(m_classes.size()));
    m_classes.emplace_back();
  }
  found->second = m_free_ids.back();
  m_free_ids.pop_back();
  m_classes[found->second].m_class = &found->first;
  return found->second;
}

void WaitingQueue::Push(Job& job, uint32_t task) {
  const uint32_t id = AddClass(job, job.m_specs[task]);
  const auto group = std::find_if(
      job.m_waiting.begin(), job.m_waiting.end(),
      [&](const WaitingGroup& item) { return item.m_class == id; });
  if (group != job.m_waiting.end()) {
    group->m_tasks.push_back(task);
    return;
  }
  job.m_waiting.push_back({id, {task}});
  m_classes[id].m_jobs.insert(EntryOf(job));
}

void WaitingQueue::RemoveEntry(uint32_t id, Job& job) {
  ClassQueue& queue = m_classes[id];
  queue.m_jobs.erase(EntryOf(job));
  if (queue.m_jobs.empty()) {
    m_ids.erase(*queue.m_class);
    m_free_ids.push_back(id);
  }
}

void WaitingQueue::RemoveAll(Job& job) {
  for (const WaitingGroup& group : job.m_waiting) {
    RemoveEntry(group.m_class, job);
  }
  job.m_waiting.clear();
}

void WaitingQueue::CountDone(Job& job) {
  for (const WaitingGroup& group : job.m_waiting) {
    m_classes[group.m_class].m_jobs.erase(EntryOf(job));
  }
  ++job.m_done;
  for (const WaitingGroup& group : job.m_waiting) {
    m_classes[group.m_class].m_jobs.insert(EntryOf(job));
  }
}

std::optional<WaitingQueue::Item> WaitingQueue::Next(
    const std::set<uint32_t>& blocked) const {
  const Entry* first = nullptr;
  uint32_t first_id = 0;
  for (const auto& [task_class, id] : m_ids) {
    if (blocked.contains(id)) {
      continue;
    }
    const Entry& entry = *m_classes[id].m_jobs.begin();
    if (first == nullptr || entry < *first) {
      first = &entry;
      first_id = id;
    }
  }
  if (first == nullptr) {
    return std::nullopt;
  }
  for (const WaitingGroup& group : first->m_job->m_waiting) {
    if (group.m_class == first_id) {
      return Item{first_id, first->m_job, group.m_tasks.back()};
    }
  }
  return std::nullopt;
}

void WaitingQueue::Pop(const Item& item) {
  std::vector<WaitingGroup>& groups = item.m_job->m_waiting;
  const auto group = std::find_if(
      groups.begin(), groups.end(),
      [&](const WaitingGroup& other) { return other.m_class == item.m_class; });
  group->m_tasks.pop_back();
  if (group->m_tasks.empty()) {
    RemoveEntry(item.m_class, *item.m_job);
    groups.erase(group);
  }
}

}  // namespace comfreyshift
