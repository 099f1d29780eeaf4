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

// Why a job is refused. Nothing of it has run or will run.
enum class AdmissionRefusal : uint8_t {
  kUnknownClient,  // There is no quota for the client.
  kCannotRun,      // No allowed target has the memory or the accelerator.
  kQuota,          // The client is over its quota; m_retry_at may help.
  kQueueFull,      // No room; m_retry_at may help.
  kDeadline,       // The deadline cannot be met at the measured rate.
};

struct AdmissionError {
  AdmissionRefusal m_refusal = AdmissionRefusal::kQuota;
  std::string m_message;
  // When another try can help; MonoTime::max() when none can.
  MonoTime m_retry_at = MonoTime::max();
};

struct AdmissionConfig {
  // Name of this entry among its peers.
  std::string m_entry;
  // Tasks that may be admitted and not released; later ones queue. A job that
  // starts below the limit may pass it.
  uint32_t m_max_running = 0;
  // Tasks that may be queued. A client below its fair share of the queue may
  // pass it, so the whole queue holds at most twice as many and one job.
  uint32_t m_max_queued = 0;
};

// The job may go to its owner now.
struct AdmittedNow {};
// The job waits; Tick brings its ticket.
struct AdmittedLater {
  TicketId m_ticket = 0;
};
using Admitted = std::variant<AdmittedNow, AdmittedLater>;

// What Tick decided on a waiting job.
struct TicketAdmitted {
  TicketId m_ticket = 0;
};
struct TicketRefused {
  TicketId m_ticket = 0;
  AdmissionError m_error;
};
using TicketEvent = std::variant<TicketAdmitted, TicketRefused>;

// Returns whether any of `targets` that the request allows has the memory and
// the accelerator it needs.
bool CanEverRun(const std::vector<PlacementTarget>& targets,
                const PlacementRequest& request);

// Decides at an entry which jobs are served: quotas shared with the other
// entries, fair queueing between clients, and early refusals that are true.
class Admission {
 public:
  Admission(AdmissionConfig config, MonoTime now);

  void SetClients(MonoTime now, const std::vector<ClientQuota>& quotas);
  void SetEntries(MonoTime now, uint32_t entries);

  // Admits, queues or refuses a job of `tasks` tasks, at least 1. A refusal
  // here takes nothing from the quota; one by Tick does not give back.
  Result<Admitted, AdmissionError> Admit(MonoTime now,
                                         const std::string& client,
                                         uint32_t tasks,
                                         MonoTime deadline);

  // Ends `tasks` tasks of admitted jobs, whether they ran or not.
  void Release(MonoTime now, uint32_t tasks);

  // Takes the time from the admission of one job to its answer. Deadlines are
  // checked against the mean and twice the deviation of these times.
  void OnJobEnded(Microseconds job_time);

  // Removes a waiting job, in constant time. Returns false when it does not
  // wait; an admitted job ends by Release.
  bool Cancel(TicketId ticket) { return m_queue.Remove(ticket); }

  // Admits waiting jobs while there is room, and refuses those whose deadline
  // passed. Call it after Release and Cancel.
  std::vector<TicketEvent> Tick(MonoTime now);

  // Digests for the peers; `as_of` is when the ping was sent that brought it.
  UsageDigest Usage(MonoTime now) { return m_quotas.Usage(now); }
  void OnPeerUsage(MonoTime as_of,
                   std::string_view peer,
                   const UsageDigest& digest) {
    m_quotas.OnPeerUsage(as_of, peer, digest);
  }

  // Bytes for each client, without its name and its queued jobs.
  static constexpr size_t ClientBytes() {
    return QuotaTable::ClientBytes() + FairQueue::ClientBytes();
  }

  // Tasks that end in a second, as measured while jobs waited; 0 when not
  // measured yet.
  double service_rate() const { return m_rate; }
  uint64_t queued_tasks() const { return m_queue.tasks(); }
  uint64_t running_tasks() const { return m_running; }

 private:
  AdmissionError Refuse(AdmissionRefusal refusal,
                        const std::string& message,
                        MonoTime retry_at) const;
  // Time until a job of the client would end, behind what the client queued.
  Microseconds ExpectedEnd(const std::string& client, uint32_t tasks) const;
  // Time in which `tasks` tasks end at the measured rate; 0 when not measured.
  Microseconds ServiceTime(double tasks) const;
  // Time from admission to answer that nearly all jobs keep.
  Microseconds JobTime() const;
  void Measure(MonoTime now);

  AdmissionConfig m_config;
  QuotaTable m_quotas;
  FairQueue m_queue;
  TicketId m_next_ticket = 1;
  uint64_t m_running = 0;
  double m_rate = 0;
  // Mean and mean deviation of the job times, in seconds.
  double m_job_mean = 0;
  double m_job_deviation = 0;
  // The window in which releases are counted.
  MonoTime m_window_from;
  uint64_t m_window_released = 0;
  bool m_window_saturated = true;
};

}  // namespace comfreyshift

#endif  // PLACEMENT_ADMISSION_H_
