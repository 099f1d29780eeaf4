#ifndef JOBS_JOB_H_
#define JOBS_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "jobs/shared_text.h"

namespace comfreyshift {

// What a task needs of a runner, or the capacity of a runner.
struct Resources {
  int64_t m_cpu_millis = 0;
  int64_t m_memory_mb = 0;
  int64_t m_gpus = 0;

  bool Fits(const Resources& capacity) const {
    return m_cpu_millis <= capacity.m_cpu_millis &&
           m_memory_mb <= capacity.m_memory_mb && m_gpus <= capacity.m_gpus;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  auto operator<=>(const Resources&) const = default;
};

// A group of identical tasks of a job.
struct Step {
  uint32_t m_count = 0;
  // Demand of one task.
  Resources m_demand;
  // The client's estimate of one task's run time.
  Milliseconds m_estimated_run_time{0};
  // A label that the runner must have; empty for none.
  std::string m_required_label;
  // The rack that holds the task's data; empty for none.
  std::string m_data_rack;
};

// Default of the run time of a task on another rack than its data, as a
// multiple of the run time on the data's rack.
inline constexpr double kDefaultRemoteFactor = 1.5;

// A job whose client waits for the result. It is kept in memory only, since the
// result is sent on the connection that brought the job.
struct JobRequest {
  // Chosen by the client; the same for a job that is sent again.
  std::string m_id;
  // Where the client connects from; clients of one address count as one.
  std::string m_client;
  // The request's id in the client's own logs; empty if it sent none.
  std::string m_trace_id;
  // Name of the queue.
  std::string m_queue;
  // Version of the configuration that the job was accepted under.
  uint64_t m_config_version = 0;
  // Passed to the runner unchanged and uninterpreted.
  SharedText m_payload;
  std::vector<Step> m_steps;
  // When the client stops waiting.
  MonoTime m_give_up_at;
};

// Why a job was rejected. None of its tasks has been or will be started.
enum class RejectionReason : uint8_t {
  // No runner of the queue's service can run the job now or soon.
  kNoRunner,
  // Its objective cannot be met because of the work already waiting.
  kOverloaded,
  // The process is stopping.
  kStopping,
  // The same job is already in progress at this entry.
  kDuplicate,
};

std::string_view ToString(RejectionReason reason);

}  // namespace comfreyshift

#endif  // JOBS_JOB_H_
