#ifndef EXECUTOR_UNVERIFIED_HEARTBEATS_H_
#define EXECUTOR_UNVERIFIED_HEARTBEATS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "executor/runner_description.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// Holds heartbeats of incarnations that are not known to be the runner's.
// Another writer may send one, and an earlier incarnation's may arrive late.
// Each is verified by a poll addressed to its incarnation.
class UnverifiedHeartbeats {
 public:
  // Adds a heartbeat. One of a further incarnation is dropped while
  // kMaxIncarnations are held; its sender repeats it.
  void Add(const RunnerHeartbeat& heartbeat, MonoTime now);
  bool Contains(const RunnerIncarnation& incarnation) const {
    return m_entries.contains(incarnation);
  }
  // Whether what is held says what `heartbeat` says.
  bool Includes(const RunnerHeartbeat& heartbeat) const;
  // Removes and returns what the heartbeats of an incarnation say, if any are
  // held.
  std::optional<RunnerDescription> Take(const RunnerIncarnation& incarnation);
  // Removes the heartbeats of all incarnations of a runner.
  void RemoveRunner(const std::string& runner_id);

  // Returns the incarnations to poll now. Their next poll is due only after
  // RetryAt.
  std::vector<RunnerIncarnation> TakeDue(MonoTime now);
  // The poll was inconclusive; repeats it at `poll_at`.
  void RetryAt(const RunnerIncarnation& incarnation, MonoTime poll_at);
  // Returns when the next poll is due, MonoTime::max() if none is.
  MonoTime NextPollAt() const;

 private:
  struct Entry {
    RunnerDescription m_description;
    // MonoTime::max() while a poll is under way.
    MonoTime m_next_poll_at;
  };

  std::map<RunnerIncarnation, Entry> m_entries;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_UNVERIFIED_HEARTBEATS_H_
