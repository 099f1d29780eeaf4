#ifndef FLEET_START_LOG_H_
#define FLEET_START_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/core.h"
#include "executor/executor.h"
#include "fleet/node_metrics.h"
#include "link/link.h"

namespace comfreyshift {

// Logs on which operator state runs were started: one `runs_started` line for
// all starts of an interval that were decided on the same revisions, so that
// each start is covered by one line. Also keeps the ages as metrics.
class StartLog {
 public:
  explicit StartLog(NodeMetrics& metrics) : m_metrics(metrics) {}

  // Adds a start in `zone`, decided on `agent_knowledge` by this agent.
  void Add(const StartRequest& request,
           const std::string& zone,
           const OperatorKnowledge& agent_knowledge,
           MonoTime now);
  // Writes the lines of the interval if it has ended.
  void FlushIfDue(MonoTime now);

 private:
  // Revisions at the entry and at the agent.
  using Revisions = std::pair<uint64_t, uint64_t>;

  // The starts decided on the same revisions, and their highest ages.
  struct Group {
    std::string m_zone;
    RunKey m_first;
    RunKey m_last;
    uint64_t m_starts = 0;
    Microseconds m_entry_age{0};
    Microseconds m_agent_age{0};
    // The entry of the highest age.
    std::string m_oldest_entry;
  };

  void Flush();
  static void Log(const Revisions& revisions, const Group& group);

  NodeMetrics& m_metrics;
  std::map<Revisions, Group> m_groups;
  // Set while there are groups.
  MonoTime m_flush_at = MonoTime::max();
};

}  // namespace comfreyshift

#endif  // FLEET_START_LOG_H_
