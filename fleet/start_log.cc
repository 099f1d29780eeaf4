#include "fleet/start_log.h"

#include <algorithm>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

constexpr Milliseconds kInterval{1000};

// The age of a state that the store has never confirmed.
constexpr Microseconds kNeverConfirmed = Microseconds::max();

Microseconds AgeOf(const OperatorKnowledge& knowledge) {
  return knowledge.m_age.value_or(kNeverConfirmed);
}

int64_t ToLogged(Microseconds age) {
  return age == kNeverConfirmed ? -1 : age.count();
}

std::string ToText(const RunKey& run) {
  return run.m_task.m_job + "." + std::to_string(run.m_task.m_step) + "." +
         std::to_string(run.m_task.m_index) + "/" +
         std::to_string(run.m_number);
}

}  // namespace

void StartLog::Add(const StartRequest& request,
                   const std::string& zone,
                   const OperatorKnowledge& agent_knowledge,
                   MonoTime now) {
  m_metrics.RecordStateAge("entry", request.m_decided_on.m_age);
  m_metrics.RecordStateAge("agent", agent_knowledge.m_age);
  if (m_groups.empty()) {
    m_flush_at = now + kInterval;
  }
  Group& group =
      m_groups[{request.m_decided_on.m_revision, agent_knowledge.m_revision}];
  if (group.m_starts == 0) {
    group.m_first = request.m_run;
    group.m_zone = zone;
  }
  ++group.m_starts;
  group.m_last = request.m_run;
  group.m_agent_age = std::max(group.m_agent_age, AgeOf(agent_knowledge));
  const Microseconds entry_age = AgeOf(request.m_decided_on);
  if (group.m_oldest_entry.empty() || entry_age > group.m_entry_age) {
    group.m_entry_age = entry_age;
    group.m_oldest_entry = request.m_entry;
  }
}

void StartLog::FlushIfDue(MonoTime now) {
  if (now >= m_flush_at) {
    Flush();
  }
}

void StartLog::Flush() {
  for (const auto& [revisions, group] : m_groups) {
    Log(revisions, group);
  }
  m_groups.clear();
  m_flush_at = MonoTime::max();
}

void StartLog::Log(const Revisions& revisions, const Group& group) {
  LogEvent(LogLevel::kInfo, "fleet", "runs_started",
           {{"starts", group.m_starts},
            {"zone", group.m_zone},
            {"entry_revision", revisions.first},
            {"entry_age_us", ToLogged(group.m_entry_age)},
            {"oldest_entry", group.m_oldest_entry},
            {"agent_revision", revisions.second},
            {"agent_age_us", ToLogged(group.m_agent_age)},
            {"first", ToText(group.m_first)},
            {"last", ToText(group.m_last)}});
}

}  // namespace comfreyshift
