#ifndef JOBS_JOB_H_
#define JOBS_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// What a task takes from a runner, or what a runner has.
struct Resources {
  int64_t m_cpu_millis = 0;
  int64_t m_memory_mb = 0;
  int64_t m_gpus = 0;

  bool Fits(const Resources& room) const {
    return m_cpu_millis <= room.m_cpu_millis &&
           m_memory_mb <= room.m_memory_mb && m_gpus <= room.m_gpus;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  auto operator<=>(const Resources&) const = default;
};

// A group of identical tasks of a job.
struct Step {
  uint32_t m_count = 0;
  // Of one task.
  Resources m_demand;
  // The client's estimate of one task's run time.
  Milliseconds m_estimated_run_time{0};
  // A label that the runner must have; empty for none.
  std::string m_required_label;
  // The rack that holds the task's data; empty for none.
  std::string m_data_rack;
};

// Run time of a task away from its data, as a multiple of that near it, unless
// the settings say otherwise.
inline constexpr double kDefaultRemoteFactor = 1.5;

// A job that a client waits for. It is kept in memory only: its answer is sent
// on the connection that brought it.
struct JobRequest {
  // Chosen by the client; the same for a job that is sent again.
  std::string m_id;
  // The request's id in the client's own logs; empty if it sent none.
  std::string m_trace_id;
  // Name of the queue.
  std::string m_queue;
  // Handed to the runner unread.
  std::string m_payload;
  std::vector<Step> m_steps;
  // When the client stops waiting.
  MonoTime m_give_up_at;
};

// Why a job was not accepted. None of its tasks has been or will be started.
enum class RefusalReason : uint8_t {
  // No runner of the queue's service can run the job now or soon.
  kNoRunner,
  // Its objective cannot be met behind the work that waits already.
  kOverloaded,
  // The process is stopping.
  kStopping,
  // The same job is already in progress here.
  kDuplicate,
};

std::string_view ToString(RefusalReason reason);

}  // namespace comfreyshift

#endif  // JOBS_JOB_H_
