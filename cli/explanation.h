#ifndef CLI_EXPLANATION_H_
#define CLI_EXPLANATION_H_

#include <istream>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"

namespace comfreyshift {

// One line of the log of a platform role (docs/OPERATIONS.md).
struct LogRecord {
  // As written, in UTC.
  std::string m_time;
  std::string m_process;
  std::string m_event;
  nlohmann::json m_fields;
};

// Collects what logs tell of one job, across processes.
class JobLogs {
 public:
  // `id` is that of a job or of a client's request.
  explicit JobLogs(std::string id);

  // Takes what may concern the job from a log. Text before the JSON object of a
  // line is left out; lines without one are counted.
  void Read(std::istream& log);

  // Lines of the job in order of time, with the ends of entries whose runs were
  // stopped. Empty if no line names the id.
  std::vector<LogRecord> Records() const;
  uint64_t unreadable_lines() const { return m_unreadable; }

 private:
  std::set<std::string> JobIds() const;

  std::string m_id;
  // Of any job; agents know a job's id only, so which lines matter is known at
  // the end.
  std::vector<LogRecord> m_records;
  // Entries that agents saw disconnect.
  std::vector<LogRecord> m_disconnects;
  uint64_t m_unreadable = 0;
};

// Says in a few words of plain text how the job ended and what the logs give as
// the cause.
std::string ExplainRecords(const std::vector<LogRecord>& records);

}  // namespace comfreyshift

#endif  // CLI_EXPLANATION_H_
