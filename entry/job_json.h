#ifndef ENTRY_JOB_JSON_H_
#define ENTRY_JOB_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "entry/job_session.h"

namespace comfreyshift {

struct JobFormatError {
  std::string m_message;
};

// Reads one element of `tasks`. Unknown fields are errors.
Result<TaskSpec, JobFormatError> ReadTask(const nlohmann::json& json);

// Reads `tasks`: 1 to kMaxTasksPerJob of them.
Result<std::vector<TaskSpec>, JobFormatError> ReadTasks(
    const nlohmann::json& json);

// Reads `timeout_ms` of a job or request, from 1 ms to 10 min; 30 s when it is
// missing.
Result<Milliseconds, JobFormatError> ReadTimeout(const nlohmann::json& json);

struct HttpAnswer {
  int m_status = 0;
  // JSON text.
  std::string m_body;
};

// Returns the HTTP form of a job's answer.
HttpAnswer ToHttp(const SessionAnswer& answer);

}  // namespace comfreyshift

#endif  // ENTRY_JOB_JSON_H_
