#ifndef DISPATCH_WAITING_QUEUE_H_
#define DISPATCH_WAITING_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/job_table.h"

namespace comfreyshift {

// Tasks with an equal class may use the same targets.
struct TaskClass {
  std::string m_client;
  bool m_needs_accelerator = false;
  uint64_t m_memory_mb = 0;

  auto operator<=>(const TaskClass&) const = default;
};

// The tasks that wait for a target. Tasks of the job with the earliest due time
// come first, then those of the job that arrived first.
class WaitingQueue {
 public:
  struct Item {
    uint32_t m_class = 0;
    Job* m_job = nullptr;
    uint32_t m_task = 0;
  };

  // Adds a task. Within a job and class, the task pushed last is returned
  // first.
  void Push(Job& job, uint32_t task);

  // Removes all tasks of a job.
  void RemoveAll(Job& job);

  // Counts a task of `job` as done and updates the job's position, because its
  // due time depends on the number of remaining tasks.
  void CountDone(Job& job);

  // Returns the first task whose class is not in `blocked`, or nothing.
  std::optional<Item> Next(const std::set<uint32_t>& blocked) const;

  // Removes the task that Next returned.
  void Pop(const Item& item);

  const TaskClass& ClassOf(const Item& item) const {
    return *m_classes[item.m_class].m_class;
  }
  bool empty() const { return m_ids.empty(); }

 private:
  struct Entry {
    MonoTime m_due;
    uint64_t m_sequence = 0;
    Job* m_job = nullptr;

    auto operator<=>(const Entry&) const = default;
  };
  struct ClassQueue {
    const TaskClass* m_class = nullptr;
    std::set<Entry> m_jobs;
  };

  static Entry EntryOf(Job& job) { return {job.due(), job.m_sequence, &job}; }
  uint32_t AddClass(const Job& job, const TaskSpec& spec);
  void RemoveEntry(uint32_t id, Job& job);

  std::map<TaskClass, uint32_t> m_ids;
  std::vector<ClassQueue> m_classes;
  std::vector<uint32_t> m_free_ids;
};

}  // namespace comfreyshift

#endif  // DISPATCH_WAITING_QUEUE_H_
