#ifndef SCHEDULER_WAITING_JOB_ORDER_H_
#define SCHEDULER_WAITING_JOB_ORDER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/core.h"
#include "scheduler/actions.h"

namespace comfreyshift {

// A job with tasks that wait for capacity.
struct WaitingJob {
  JobHandle m_job = 0;
  // 0 is the highest.
  int32_t m_priority = 0;
  // Whether any of its tasks has run or may still run.
  bool m_has_started = false;
  MonoTime m_due_at;
};

// Orders the waiting jobs of one service. While there is a shortage, each
// priority has a share of the work that is placed, four times that of the next
// lower one, and the priority that is furthest behind its share goes first. A
// priority that needs less than its share therefore never waits for lower ones,
// and none is starved.
class WaitingJobOrder {
 public:
  // Puts the jobs into the order in which to place them. There is a shortage if
  // `is_short`; otherwise priorities do not matter. Call it for each pass, also
  // with no jobs.
  void Sort(std::vector<WaitingJob>& jobs, bool is_short);

  // Records that a task of so much work was placed.
  void OnPlaced(int32_t priority, double work);

  // Returns the share of a priority while those that wait now go on waiting;
  // above 0 and at most 1.
  double ShareOf(int32_t priority) const;

 private:
  // Start-time fair queueing: work placed so far, divided by the weight, of the
  // priorities that wait. One that begins to wait is level with the one that is
  // furthest behind.
  std::map<int32_t, double> m_served;
};

}  // namespace comfreyshift

#endif  // SCHEDULER_WAITING_JOB_ORDER_H_
