#include "entry/job_json.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds kDefaultTimeout{30'000};
constexpr Milliseconds kMaxTimeout{600'000};
constexpr uint64_t kMaxDeclaredRunMs = 3'600'000;
constexpr uint64_t kMaxMemoryMb = 1ULL << 30;

constexpr std::array<std::string_view, 5> kTaskFields = {
    "request", "payload", "declared_run_ms", "memory_mb", "accelerator"};

JobFormatError Error(std::string_view field, std::string_view accepted) {
  return {"\"" + std::string(field) + "\" must be " + std::string(accepted)};
}

bool IsNumberUpTo(const Json& json, uint64_t limit) {
  return json.is_number_unsigned() && json.get<uint64_t>() <= limit;
}

int StatusOf(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kDenied:
      return 403;
    case NotRunReason::kCancelled:
    case NotRunReason::kKeyReused:
      return 409;
    case NotRunReason::kQuota:
    case NotRunReason::kQueueFull:
      return 429;
    default:
      return 503;
  }
}

HttpAnswer ToHttp(const JobComplete& complete) {
  Json answers = Json::array();
  for (const TaskAnswer& answer : complete.m_answers) {
    answers.push_back({{"status", answer.m_status}, {"body", answer.m_body}});
  }
  const Json body = {{"state", "complete"}, {"answers", std::move(answers)}};
  return {200, DumpJson(body)};
}

HttpAnswer ToHttp(const JobFailed& failed) {
  const Json body = {{"state", "failed"},
                     {"failure", ToString(failed.m_failure)},
                     {"detail", failed.m_detail}};
  return {502, DumpJson(body)};
}

// Tells whether a refusal covers all that was ever sent under the key, or only
// the content that came with this sending.
std::string_view ScopeOf(const JobNotRun& not_run) {
  return not_run.m_reason == NotRunReason::kKeyReused ? "content"
                                                      : "submission";
}

HttpAnswer ToHttp(const JobNotRun& not_run) {
  const Json body = {{"state", "not_run"},
                     {"scope", ScopeOf(not_run)},
                     {"reason", ToString(not_run.m_reason)},
                     {"detail", not_run.m_detail}};
  return {StatusOf(not_run.m_reason), DumpJson(body)};
}

HttpAnswer ToHttp(const JobAnswer& answer) {
  return std::visit([](const auto& value) { return ToHttp(value); }, answer);
}

HttpAnswer ToHttp(const AttemptRejected& rejected) {
  const Json body = {{"state", "not_run"},
                     {"scope", "sending"},
                     {"reason", ToString(rejected.m_reason)},
                     {"detail", rejected.m_detail}};
  return {StatusOf(rejected.m_reason), DumpJson(body)};
}

}  // namespace

Result<TaskSpec, JobFormatError> ReadTask(const Json& json) {
  if (!json.is_object()) {
    return Error("tasks", "a list of objects");
  }
  for (const auto& [name, value] : json.items()) {
    if (std::find(kTaskFields.begin(), kTaskFields.end(), name) ==
        kTaskFields.end()) {
      return JobFormatError{"\"" + name + "\" is not a field of a task"};
    }
  }
  TaskSpec spec;
  const auto request = json.find("request");
  if (request == json.end() || !request->is_string() ||
      request->get_ref<const std::string&>().empty()) {
    return Error("request", "the name of a kind of request");
  }
  spec.m_request = request->get<std::string>();
  if (const auto payload = json.find("payload"); payload != json.end()) {
    if (!payload->is_string()) {
      return Error("payload", "a string");
    }
    spec.m_payload = payload->get<std::string>();
  }
  if (const auto run = json.find("declared_run_ms"); run != json.end()) {
    if (!IsNumberUpTo(*run, kMaxDeclaredRunMs)) {
      return Error("declared_run_ms", "a whole number from 0 to 3600000");
    }
    spec.m_declared_run_time = Milliseconds(run->get<uint64_t>());
  }
  if (const auto memory = json.find("memory_mb"); memory != json.end()) {
    if (!IsNumberUpTo(*memory, kMaxMemoryMb)) {
      return Error("memory_mb", "a whole number from 0 to 1073741824");
    }
    spec.m_memory_mb = memory->get<uint64_t>();
  }
  if (const auto needs = json.find("accelerator"); needs != json.end()) {
    if (!needs->is_boolean()) {
      return Error("accelerator", "true or false");
    }
    spec.m_needs_accelerator = needs->get<bool>();
  }
  return spec;
}

Result<std::vector<TaskSpec>, JobFormatError> ReadTasks(const Json& json) {
  const auto tasks = json.find("tasks");
  if (tasks == json.end() || !tasks->is_array() || tasks->empty() ||
      tasks->size() > kMaxTasksPerJob) {
    return Error("tasks", "a list of 1 to " + std::to_string(kMaxTasksPerJob) +
                              " tasks");
  }
  std::vector<TaskSpec> specs;
  specs.reserve(tasks->size());
  for (const Json& task : *tasks) {
    auto spec = ReadTask(task);
    if (!spec) {
      return spec.error();
    }
    specs.push_back(std::move(spec.value()));
  }
  return specs;
}

Result<Milliseconds, JobFormatError> ReadTimeout(const Json& json) {
  const auto timeout = json.find("timeout_ms");
  if (timeout == json.end()) {
    return kDefaultTimeout;
  }
  if (!IsNumberUpTo(*timeout, static_cast<uint64_t>(kMaxTimeout.count())) ||
      timeout->get<uint64_t>() == 0) {
    return Error("timeout_ms", "a whole number from 1 to 600000");
  }
  return Milliseconds(timeout->get<uint64_t>());
}

HttpAnswer ToHttp(const SessionAnswer& answer) {
  return std::visit([](const auto& value) { return ToHttp(value); }, answer);
}

}  // namespace comfreyshift
