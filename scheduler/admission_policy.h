#ifndef SCHEDULER_ADMISSION_POLICY_H_
#define SCHEDULER_ADMISSION_POLICY_H_

#include <optional>

#include "core/core.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// CPU time that a task is expected to take, in thousandths of a core times
// microseconds.
double ExpectedWork(const Resources& demand, Microseconds expected);

// Estimates how long a job waits for capacity, from the work that goes before
// it and the rate at which this entry has placed work. The capacity of the
// runners alone does not tell, because the other entries use it too.
class AdmissionPolicy {
 public:
  // Records that a task of so much work was placed.
  void OnPlaced(double work, MonoTime now);
  // Records that an agent has sent back a task without starting it.
  void OnReturned(double work, MonoTime now);

  // Returns the time until `work` has been placed, or nothing if so little was
  // placed lately that its rate tells nothing.
  std::optional<Microseconds> ExpectedWait(double work, MonoTime now) const;

 private:
  // Weight at `now` of what was recorded until m_updated_at.
  double DecayUntil(MonoTime now) const;

  // Work placed, with weights that decay over time.
  double m_placed = 0.0;
  MonoTime m_updated_at;
  // When the first of them was placed.
  MonoTime m_measured_since;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_ADMISSION_POLICY_H_
