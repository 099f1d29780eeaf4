#include "cli/retirement.h"

#include <chrono>
#include <thread>

#include "cli/report.h"

namespace comfreyshift {

namespace {

constexpr Milliseconds kPollInterval{250};

std::string StateOf(const OperatorAnswer& answer) {
  const nlohmann::json state = answer.m_body.value("state", nlohmann::json());
  return state.is_string() ? state.get<std::string>() : "unknown";
}

}  // namespace

ExitCode ShowRetirement(Connection& connection,
                        const std::string& kind,
                        const std::string& name,
                        MonoTime deadline,
                        bool as_json,
                        const Terminal& terminal) {
  ProgressLine progress(terminal);
  std::string path = "/v1/retirements/";
  path.append(kind).append("/").append(name);
  while (true) {
    const auto answer = connection.Get(path);
    const bool is_last = BootClock::now() >= deadline;
    if (!answer && (is_last || answer.error().m_exit == ExitCode::kFailed)) {
      return PrintError(answer.error(), as_json, terminal);
    }
    const std::string state = answer ? StateOf(answer.value()) : "unavailable";
    if (answer && (state == "done" || is_last)) {
      const nlohmann::json& body = answer.value().m_body;
      terminal.m_out << (as_json ? DumpJson(body) + "\n"
                                 : RetirementToText(body));
      return state == "done" ? ExitCode::kDone : ExitCode::kFailed;
    }
    progress.Update("waiting for the proof: " + state);
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace comfreyshift
