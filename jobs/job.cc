#include "jobs/job.h"

namespace comfreyshift {

Resources& Resources::operator+=(const Resources& other) {
  m_cpu_millis += other.m_cpu_millis;
  m_memory_mb += other.m_memory_mb;
  m_gpus += other.m_gpus;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  m_cpu_millis -= other.m_cpu_millis;
  m_memory_mb -= other.m_memory_mb;
  m_gpus -= other.m_gpus;
  return *this;
}

std::string_view ToString(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kNoRunner:
      return "no_runner";
    case RejectionReason::kOverloaded:
      return "overloaded";
    case RejectionReason::kStopping:
      return "stopping";
    case RejectionReason::kDuplicate:
      return "duplicate";
  }
  return "unknown";
}

}  // namespace comfreyshift
