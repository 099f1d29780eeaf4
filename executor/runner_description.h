#ifndef EXECUTOR_RUNNER_DESCRIPTION_H_
#define EXECUTOR_RUNNER_DESCRIPTION_H_

#include <cstdint>
#include <vector>

#include "core/core.h"
#include "jobs/jobs.h"

namespace comfreyshift {

// What the heartbeats of one incarnation of a runner say of it. An incarnation
// never changes its service, address, zone, capacity and labels, so that
// heartbeats that differ in them come from two writers, of which one is the
// runner. What was claimed first is in force until another claim is repeated
// for some time while the first is not heard: the runner repeats its
// heartbeats, another writer need not. Sequence numbers are compared within a
// claim. Draining is final: it precedes the end of the incarnation.
class RunnerDescription {
 public:
  // Adds a heartbeat. Returns whether it describes the runner now: it is of the
  // claim in force, and newer than the last one of that claim or the first that
  // says draining.
  bool Add(const RunnerHeartbeat& heartbeat, MonoTime now);

  bool is_empty() const { return m_claims.empty(); }
  // Returns the newest heartbeat of the claim in force. It is draining also if
  // the runner may have said so in another claim.
  RunnerHeartbeat Current() const;
  // Whether the claim in force may be that of another writer, and another claim
  // differs from it in what a start depends on besides the service.
  bool is_disputed() const;
  // Whether Current says what `heartbeat` says.
  bool Includes(const RunnerHeartbeat& heartbeat) const;

 private:
  // The heartbeats that agree in what an incarnation never changes.
  struct Claim {
    RunnerHeartbeat m_newest;
    // Heartbeats since m_counted_since. For a claim that is not in force, the
    // count begins anew when the claim in force is heard.
    uint32_t m_count = 0;
    MonoTime m_counted_since;
    MonoTime m_heard_at;

    // Takes a heartbeat that is newer than the last one.
    void Update(const RunnerHeartbeat& heartbeat, MonoTime now);
    // Whether the claim was repeated for long enough to be the runner's.
    bool IsRepeated() const;
  };

  Claim& AddClaim(const RunnerHeartbeat& heartbeat);

  // The claim in force is the first.
  std::vector<Claim> m_claims;
};

}  // namespace comfreyshift

#endif  // EXECUTOR_RUNNER_DESCRIPTION_H_
