#include "placement/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreyshift {
namespace {

// The service rate is a moving average over windows of this length, with this
// weight for a new window.
constexpr Microseconds kRateWindow = Milliseconds(500);
constexpr double kWindowWeight = 1.0 / 8;

// Weight of one job in the moving averages of the job time, and how many mean
// deviations above the mean a deadline must leave.
constexpr double kJobWeight = 1.0 / 64;
constexpr double kJobTimeDeviations = 2.5;

double Seconds(Microseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

bool CanEverRun(const std::vector<PlacementTarget>& targets,
                const PlacementRequest& request) {
  for (size_t i = 0; i < targets.size(); ++i) {
    const bool allowed =
        request.m_allowed == nullptr || (*request.m_allowed)[i];
    if (allowed && CanRun(targets[i], request)) {
      return true;
    }
  }
  return false;
}

Admission::Admission(AdmissionConfig config, MonoTime now)
    : m_config(std::move(config)),
      m_quotas(m_config.m_entry),
      m_window_from(now) {}

void Admission::SetClients(MonoTime now,
                           const std::vector<ClientQuota>& quotas) {
  m_quotas.SetQuotas(now, quotas);
  for (const ClientQuota& quota : quotas) {
    m_queue.SetWeight(quota.m_client, quota.m_weight);
  }
}

void Admission::SetEntries(MonoTime now, uint32_t entries) {
  m_quotas.SetEntries(now, entries);
}

AdmissionError Admission::Refuse(AdmissionRefusal refusal,
                                 const std::string& message,
                                 MonoTime retry_at) const {
  return {refusal, message, retry_at};
}

Microseconds Admission::ServiceTime(double tasks) const {
  return m_service_rate > 0
             ? Microseconds(static_cast<int64_t>(tasks / m_service_rate * 1e6))
             : Microseconds(0);
}

Microseconds Admission::JobTime() const {
  const double seconds = m_job_mean + kJobTimeDeviations * m_job_deviation;
  return Microseconds(static_cast<int64_t>(seconds * 1e6));
}

void Admission::OnJobEnded(Microseconds job_time) {
  const double error = Seconds(job_time) - m_job_mean;
  m_job_mean += kJobWeight * error;
  m_job_deviation += kJobWeight * (std::abs(error) - m_job_deviation);
}

Microseconds Admission::ExpectedEnd(const std::string& client,
                                    uint32_t tasks) const {
  const double own = static_cast<double>(m_queue.TasksOf(client)) + tasks;
  const double queued = own / m_queue.ShareOf(client);
  // At worst the client waits until all queued tasks have ended.
  const double all = static_cast<double>(m_queue.tasks()) + tasks;
  return ServiceTime(std::min(queued, all)) + JobTime();
}

Result<Admitted, AdmissionError> Admission::Admit(MonoTime now,
                                                  const std::string& client,
                                                  uint32_t tasks,
                                                  MonoTime deadline) {
  if (!m_quotas.HasClient(client)) {
    return Refuse(AdmissionRefusal::kUnknownClient,
                  "there is no quota for client \"" + client + "\"",
                  MonoTime::max());
  }
  if (now + ExpectedEnd(client, tasks) > deadline) {
    return Refuse(AdmissionRefusal::kDeadline,
                  "the deadline is before the expected end", MonoTime::max());
  }
  const double share = m_queue.ShareOf(client) * m_config.m_max_queued;
  const bool waits = m_running >= m_config.m_max_running || m_queue.jobs() > 0;
  if (waits && m_queue.tasks() + tasks > m_config.m_max_queued &&
      static_cast<double>(m_queue.TasksOf(client) + tasks) > share) {
    return Refuse(AdmissionRefusal::kQueueFull, "the queue is full",
                  now + ExpectedEnd(client, tasks));
  }
  if (!m_quotas.TryConsume(now, client, tasks)) {
    return Refuse(AdmissionRefusal::kQuota,
                  "client \"" + client + "\" is over its quota",
                  m_quotas.AvailableAt(now, client, tasks));
  }
  if (!waits) {
    m_running += tasks;
    return Admitted(AdmittedNow());
  }
  m_queue.Push(client, {m_next_ticket, tasks, deadline});
  return Admitted(AdmissionQueued{m_next_ticket++});
}

void Admission::Release(MonoTime now, uint32_t tasks) {
  m_running -= std::min<uint64_t>(m_running, tasks);
  m_window_released += tasks;
  UpdateServiceRate(now);
}

// Only windows during which jobs were always queued count; any other window
// measures the demand and not the capacity.
void Admission::UpdateServiceRate(MonoTime now) {
  m_window_saturated = m_window_saturated && m_queue.jobs() > 0;
  if (now < m_window_from + kRateWindow) {
    return;
  }
  const double rate =
      static_cast<double>(m_window_released) / Seconds(now - m_window_from);
  if (m_window_saturated) {
    m_service_rate =
        m_service_rate > 0
            ? m_service_rate + kWindowWeight * (rate - m_service_rate)
            : rate;
  }
  m_window_from = now;
  m_window_released = 0;
  m_window_saturated = m_queue.jobs() > 0;
}

std::vector<TicketEvent> Admission::Tick(MonoTime now) {
  std::vector<TicketEvent> events;
  while (m_running < m_config.m_max_running) {
    const QueuedJob* front = m_queue.Front();
    if (front == nullptr) {
      break;
    }
    const QueuedJob job = *front;
    if (now + JobTime() > job.m_deadline) {
      // Remove does not count the job as served, so the client keeps its turn.
      m_queue.Remove(job.m_ticket);
      events.emplace_back(TicketRefused{
          job.m_ticket, Refuse(AdmissionRefusal::kDeadline,
                               "the deadline passes before the job can end",
                               MonoTime::max())});
      continue;
    }
    m_queue.Pop();
    m_running += job.m_tasks;
    events.emplace_back(TicketAdmitted{job.m_ticket});
  }
  return events;
}

}  // namespace comfreyshift
