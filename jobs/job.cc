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

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRunner:
      return "no_runner";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kStopping:
      return "stopping";
    case RefusalReason::kDuplicate:
      return "duplicate";
  }
  return "unknown";
}

}  // namespace comfreyshift
