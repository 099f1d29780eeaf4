#ifndef PLACEMENT_ADMISSION_H_
#define PLACEMENT_ADMISSION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/core.h"
#include "placement/fair_queue.h"
#include "placement/placer.h"
#include "placement/quota.h"

namespace comfreyshift {

// Why a job is refused. No task of a refused job has run or will run.
enum class AdmissionRefusal : uint8_t {
  kUnknownClient,  // There is no quota for the client.
  kCannotRun,      // No allowed target has the memory or the accelerator.
  kQuota,          // The client is over its quota; retry at m_retry_at.
  kQueueFull,      // The queue is full; retry at m_retry_at.
  kDeadline,       // The deadline cannot be met at the measured rate.
};

struct AdmissionError {
  AdmissionRefusal m_refusal = AdmissionRefusal::kQuota;
  std::string m_message;
  // When a retry can succeed; MonoTime::max() when none can.
  MonoTime m_retry_at = MonoTime::max();
};

struct AdmissionConfig {
  // Name of this entry among its peers.
  std::string m_entry;
  // Limit on tasks that are admitted and not yet released; further jobs are
  // queued. A job admitted below the limit may exceed it.
  uint32_t m_max_running = 0;
  // Limit on queued tasks. A client below its fair share of the queue may
  // exceed it, so the whole queue holds at most twice as many plus one job.
  uint32_t m_max_queued = 0;
};

// The job can be sent to its owner now.
struct AdmittedNow {};
// The job is queued; Tick returns the decision for its ticket.
struct AdmissionQueued {
  TicketId m_ticket = 0;
};
using Admitted = std::variant<AdmittedNow, AdmissionQueued>;

// A decision of Tick about a queued job.
struct TicketAdmitted {
  TicketId m_ticket = 0;
};
struct TicketRefused {
  TicketId m_ticket = 0;
  AdmissionError m_error;
};
using TicketEvent = std::variant<TicketAdmitted, TicketRefused>;

// Returns whether any of `targets` is allowed for the request and has the
// memory and the accelerator that it needs.
bool CanEverRun(const std::vector<PlacementTarget>& targets,
                const PlacementRequest& request);

// Decides which jobs an entry admits: it applies quotas shared with the other
// entries, queues fairly between clients, and refuses early the jobs that
// cannot meet their deadline.
class Admission {
 public:
  Admission(AdmissionConfig config, MonoTime now);

  void SetClients(MonoTime now, const std::vector<ClientQuota>& quotas);
  void SetEntries(MonoTime now, uint32_t entries);

  // Admits, queues or refuses a job of `tasks` tasks, at least 1. A refusal
  // here leaves the quota unchanged; a later refusal by Tick returns nothing to
  // it.
  Result<Admitted, AdmissionError> Admit(MonoTime now,
                                         const std::string& client,
                                         uint32_t tasks,
                                         MonoTime deadline);

  // Releases `tasks` tasks of admitted jobs, whether they ran or not.
  void Release(MonoTime now, uint32_t tasks);

  // Records the time from the admission of one job to its answer. A deadline
  // must leave the mean of these times plus 2.5 times their mean deviation.
  void OnJobEnded(Microseconds job_time);

  // Removes a queued job, in constant time. Returns false when it is not
  // queued; use Release for an admitted job.
  bool Cancel(TicketId ticket) { return m_queue.Remove(ticket); }

  // Admits queued jobs while there is capacity, and refuses those that can no
  // longer meet their deadline. Must be called after Release and Cancel.
  std::vector<TicketEvent> Tick(MonoTime now);

  // Exchange quota usage with peers, see QuotaTable. `as_of` is when this entry
  // sent the ping that the digest answers.
  UsageDigest Usage(MonoTime now) { return m_quotas.Usage(now); }
  void OnPeerUsage(MonoTime as_of,
                   std::string_view peer,
                   const UsageDigest& digest) {
    m_quotas.OnPeerUsage(as_of, peer, digest);
  }

  // Memory in bytes for each client, without its name and its queued jobs.
  static constexpr size_t ClientBytes() {
    return QuotaTable::ClientBytes() + FairQueue::ClientBytes();
  }

  // Finished tasks per second, measured while jobs were queued; 0 when not
  // measured yet.
  double service_rate() const { return m_service_rate; }
  uint64_t queued_tasks() const { return m_queue.tasks(); }
  uint64_t running_tasks() const { return m_running; }

 private:
  AdmissionError Refuse(AdmissionRefusal refusal,
                        const std::string& message,
                        MonoTime retry_at) const;
  // Expected time until a new job of the client ends, including the wait behind
  // the client's queued jobs.
  Microseconds ExpectedEnd(const std::string& client, uint32_t tasks) const;
  // Time for `tasks` tasks to end at the measured rate; 0 when not measured.
  Microseconds ServiceTime(double tasks) const;
  // Time from admission to answer within which nearly all jobs end.
  Microseconds JobTime() const;
  void UpdateServiceRate(MonoTime now);

  AdmissionConfig m_config;
  QuotaTable m_quotas;
  FairQueue m_queue;
  TicketId m_next_ticket = 1;
  uint64_t m_running = 0;
  double m_service_rate = 0;
  // Moving averages of the job times and of their absolute deviation, in
  // seconds.
  double m_job_mean = 0;
  double m_job_deviation = 0;
  // Current window of the rate measurement. It is saturated while jobs have
  // been queued throughout.
  MonoTime m_window_from;
  uint64_t m_window_released = 0;
  bool m_window_saturated = true;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_ADMISSION_H_
