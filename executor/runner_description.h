#ifndef EXECUTOR_RUNNER_DESCRIPTION_H_
#define EXECUTOR_RUNNER_DESCRIPTION_H_

#include <cstdint>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// What the heartbeats of one incarnation of a runner say of it. An incarnation
// never changes its service, so that heartbeats of two services come from two
// writers, of which one is the runner. The service that was named first is in
// force until another one is repeated for some time while the first is not
// heard: the runner repeats its heartbeats, another writer need not.
class RunnerDescription {
 public:
  // Adds a heartbeat. Returns whether it describes the runner now: it is of the
  // service in force, and newer than the last one of that service.
  bool Add(const RunnerHeartbeat& heartbeat, MonoTime now);

  bool is_empty() const { return m_claims.empty(); }
  // Returns the newest heartbeat of the service in force. It is draining also
  // if the runner may have said so under another service.
  RunnerHeartbeat Current() const;

 private:
  // The heartbeats of one service.
  struct Claim {
    RunnerHeartbeat m_newest;
    // Heartbeats since m_counted_since. For a service that is not in force, the
    // count begins anew when the service in force is heard.
    uint32_t m_count = 0;
    MonoTime m_counted_since;
    MonoTime m_heard_at;

    // Takes a heartbeat that is newer than the last one.
    void Update(const RunnerHeartbeat& heartbeat, MonoTime now);
    // Whether the service was repeated for long enough to be the runner's.
    bool IsRepeated() const;
  };

  Claim& AddClaim(const RunnerHeartbeat& heartbeat);

  // The service in force is the first.
  std::vector<Claim> m_claims;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUNNER_DESCRIPTION_H_
