#ifndef PLACEMENT_FAIR_QUEUE_H_
#define PLACEMENT_FAIR_QUEUE_H_

#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// Names one queued job.
using TicketId = uint64_t;

struct QueuedJob {
  TicketId m_ticket = 0;
  uint32_t m_tasks = 0;
  MonoTime m_deadline;
};

// Fair queueing between clients by weight, with virtual time: a client's next
// job is tagged with the tasks that it had served over its weight, and the
// client with the lowest tag goes next. Jobs of one client keep their order.
class FairQueue {
 public:
  void SetWeight(const std::string& client, double weight);

  void Push(const std::string& client, const QueuedJob& job);

  // Returns the next job, or nothing. It is valid until the next change.
  const QueuedJob* Front() const;

  // Removes and returns the next job, and counts its tasks as served.
  std::optional<QueuedJob> Pop();

  // Removes one job, in constant time. Returns false when it is not queued.
  bool Remove(TicketId ticket);

  // Tasks of one client and of all.
  uint64_t TasksOf(const std::string& client) const;
  uint64_t tasks() const { return m_tasks; }

  // Share of the service that a client gets while the clients with queued jobs
  // stay the same and it is one of them, above 0 and at most 1.
  double ShareOf(const std::string& client) const;

  size_t jobs() const { return m_jobs.size(); }

  // Bytes for each client, without its name and its jobs.
  static constexpr size_t ClientBytes() { return sizeof(Client); }

 private:
  struct Client {
    double m_weight = 1;
    double m_tag = 0;
    uint64_t m_tasks = 0;
    std::list<QueuedJob> m_jobs;
  };
  struct Place {
    uint32_t m_client = 0;
    std::list<QueuedJob>::iterator m_job;
  };

  uint32_t IndexOf(const std::string& client);
  void Activate(uint32_t index);
  void Deactivate(uint32_t index);

  std::unordered_map<std::string, uint32_t> m_index;
  std::vector<Client> m_clients;
  std::unordered_map<TicketId, Place> m_jobs;
  // Clients with queued jobs, by tag.
  std::set<std::pair<double, uint32_t>> m_order;
  double m_active_weight = 0;
  double m_virtual_time = 0;
  uint64_t m_tasks = 0;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_FAIR_QUEUE_H_
