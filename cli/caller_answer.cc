#include "cli/caller_answer.h"

#include <nlohmann/json.hpp>

#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kUnknownFailure = "unknown_may_have_run";

std::string TextOf(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

// Reads the list of answers; returns false when it is not as described.
bool ReadAnswers(const Json& body, std::vector<TargetAnswer>& answers) {
  const auto list = body.find("answers");
  if (list == body.end() || !list->is_array()) {
    return false;
  }
  for (const Json& answer : *list) {
    if (!answer.is_object() || !answer.contains("status") ||
        !answer["status"].is_number_integer()) {
      return false;
    }
    answers.push_back({answer["status"].get<int>(), TextOf(answer, "body")});
  }
  return true;
}

// Whether an error of HTTP itself says that nothing was run; see docs/api.md.
bool IsRefusal(int status) {
  return status == 400 || status == 401 || status == 404 || status == 405 ||
         status == 413 || status == 503;
}

CallerAnswer ReadBody(int status, const Json& body) {
  CallerAnswer answer;
  const std::string state = TextOf(body, "state");
  answer.m_detail = TextOf(body, "detail");
  if (state == "complete" && status == 200) {
    answer.m_outcome = ReadAnswers(body, answer.m_answers)
                           ? JobOutcome::kComplete
                           : JobOutcome::kUnknown;
  } else if (state == "failed") {
    answer.m_reason = TextOf(body, "failure");
    answer.m_outcome = answer.m_reason == kUnknownFailure ? JobOutcome::kUnknown
                                                          : JobOutcome::kFailed;
  } else if (state == "not_run") {
    answer.m_outcome = JobOutcome::kNotRun;
    answer.m_reason = TextOf(body, "reason");
    answer.m_covers_submission = TextOf(body, "scope") == "submission";
  } else if (body.contains("error") && body["error"].is_object()) {
    answer.m_outcome =
        IsRefusal(status) ? JobOutcome::kNotRun : JobOutcome::kUnknown;
    answer.m_reason = TextOf(body["error"], "code");
    answer.m_detail = TextOf(body["error"], "message");
  }
  return answer;
}

}  // namespace

std::string_view ToString(JobOutcome outcome) {
  switch (outcome) {
    case JobOutcome::kComplete:
      return "complete";
    case JobOutcome::kFailed:
      return "failed";
    case JobOutcome::kNotRun:
      return "not_run";
    case JobOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ExitCode ExitOf(JobOutcome outcome) {
  switch (outcome) {
    case JobOutcome::kComplete:
      return ExitCode::kDone;
    case JobOutcome::kFailed:
      return ExitCode::kFailed;
    case JobOutcome::kNotRun:
      return ExitCode::kNotRun;
    case JobOutcome::kUnknown:
      return ExitCode::kUnknown;
  }
  return ExitCode::kUnknown;
}

CallerAnswer ReadCallerAnswer(const HttpCallResult& result) {
  if (!result) {
    const bool is_sent =
        result.error().m_state == HttpCallState::kMayHaveBeenProcessed;
    CallerAnswer lost;
    lost.m_outcome = is_sent ? JobOutcome::kUnknown : JobOutcome::kNotRun;
    lost.m_reason = "connection";
    lost.m_detail = result.error().m_detail;
    return lost;
  }
  const HttpResponse& response = result.value();
  const auto body = ParseJsonObject(response.m_body);
  CallerAnswer answer;
  if (body) {
    answer = ReadBody(response.m_status, *body);
  }
  if (answer.m_outcome == JobOutcome::kUnknown && answer.m_reason.empty()) {
    answer.m_reason = "malformed_answer";
    answer.m_detail = "status " + std::to_string(response.m_status);
  }
  return answer;
}

}  // namespace comfreyshift
