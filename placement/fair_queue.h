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

// Identifies one queued job.
using TicketId = uint64_t;

struct QueuedJob {
  TicketId m_ticket = 0;
  uint32_t m_tasks = 0;
  MonoTime m_deadline;
};

// Weighted fair queueing between clients with virtual time (start-time fair
// queueing). The start tag of a client's next job grows by the tasks already
// served divided by the client's weight, and the client with the lowest tag is
// served next. Jobs of one client keep their order.
class FairQueue {
 public:
  void SetWeight(const std::string& client, double weight);

  void Push(const std::string& client, const QueuedJob& job);

  // Returns the next job, or null when the queue is empty. The pointer is valid
  // until the queue changes.
  const QueuedJob* Front() const;

  // Removes and returns the next job, and counts its tasks as served.
  std::optional<QueuedJob> Pop();

  // Removes one job, in constant time. Returns false when it is not queued.
  bool Remove(TicketId ticket);

  // Queued tasks of one client and of all clients.
  uint64_t TasksOf(const std::string& client) const;
  uint64_t tasks() const { return m_tasks; }

  // Returns the fraction of the service that a client with queued jobs gets
  // while the set of clients with queued jobs stays the same; above 0 and at
  // most 1.
  double ShareOf(const std::string& client) const;

  size_t jobs() const { return m_jobs.size(); }

  // Memory in bytes for each client, without its name and its jobs.
  static constexpr size_t ClientBytes() { return sizeof(Client); }

 private:
  struct Client {
    double m_weight = 1;
    double m_start_tag = 0;
    uint64_t m_tasks = 0;
    std::list<QueuedJob> m_jobs;
  };
  struct QueuePosition {
    uint32_t m_client = 0;
    std::list<QueuedJob>::iterator m_job;
  };

  uint32_t IndexOf(const std::string& client);
  void Activate(uint32_t index);
  void Deactivate(uint32_t index);

  std::unordered_map<std::string, uint32_t> m_index;
  std::vector<Client> m_clients;
  std::unordered_map<TicketId, QueuePosition> m_jobs;
  // Clients with queued jobs, ordered by start tag.
  std::set<std::pair<double, uint32_t>> m_active_clients;
  double m_active_weight = 0;
  double m_virtual_time = 0;
  uint64_t m_tasks = 0;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_FAIR_QUEUE_H_
