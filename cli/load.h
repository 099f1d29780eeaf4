#ifndef CLI_LOAD_H_
#define CLI_LOAD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "cli/caller_answer.h"
#include "cli/load_schedule.h"
#include "cli/output.h"
#include "core/core.h"
#include "http/http.h"

namespace comfreyshift {

struct LoadOptions {
  Gaps m_gaps;
  // Jobs a second.
  double m_rate = 10;
  // Length of the schedule; answers are awaited beyond it.
  Microseconds m_length{10'000'000};
  uint32_t m_tasks_per_job = 1;
  std::string m_request;
  // Given to the target as it is.
  std::string m_payload;
  Milliseconds m_declared_run{0};
  // Timeout that each job asks for.
  Milliseconds m_timeout{10'000};
  HttpHeaders m_headers;
  // How often a job is sent again under its key, to the next entry, while its
  // answer is lost or only this sending was refused.
  uint32_t m_resubmissions = 0;
  // Share of jobs, from 0 to 1, that are sent twice at the same time, to two
  // entries where there are two.
  double m_duplicate_share = 0;
  // Gets one JSON object a line for each answer; may be null.
  std::ostream* m_history = nullptr;
};

struct LoadResult {
  uint64_t m_jobs = 0;
  // By outcome, and by outcome and reason such as "not_run overloaded".
  std::map<std::string, uint64_t> m_outcomes;
  std::map<std::string, uint64_t> m_reasons;
  // Complete answers that did not have one answer for each task.
  uint64_t m_wrong_answers = 0;
  // Of complete jobs, from the scheduled time to the answer.
  Histogram m_latency;
  // Of all jobs, from the scheduled time to the call; shows when the load
  // generator itself was late.
  Histogram m_send_delay;
  // From the start to the last answer.
  Microseconds m_elapsed{0};
};

// Runs an open-loop load against POST /v1/jobs on the thread-default main
// context until every job has an answer or is lost. Jobs go to the entries in
// turn; `entries` must not be empty.
LoadResult RunLoad(const std::vector<std::shared_ptr<HttpClient>>& entries,
                   const LoadOptions& options,
                   const Terminal& terminal);

std::string LoadResultToText(const LoadOptions& options,
                             const LoadResult& report);
std::string LoadResultToJson(const LoadOptions& options,
                             const LoadResult& report);

}  // namespace comfreyshift

#endif  // CLI_LOAD_H_
