#include "cli/submit.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "core/core.h"
#include "http/http.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// Exit codes, as docs/api.md lists them.
enum ExitCode {
  kExitDone = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitNotRun = 3,
  kExitMayHaveRun = 4,
  kExitUnavailable = 6,
};

// The answer may take a little longer than the job's own time-out.
constexpr Milliseconds kAnswerGrace{2000};
constexpr int kAttempts = 3;

struct SubmitOptions {
  std::string m_server;
  std::string m_token;
  std::string m_key;
  std::string m_request;
  std::string m_payload;
  uint32_t m_tasks = 1;
  Milliseconds m_timeout{30'000};
  bool m_json = false;
  bool m_quiet = false;
};

SubmissionKey NewKey() {
  std::random_device device;
  const auto word = [&device]() {
    return (uint64_t{device()} << 32) | device();
  };
  const uint64_t high = word();
  return SubmissionKey::Make(WallNow(), high, word());
}

std::string ReadToken(const std::string& path) {
  std::ifstream file(path);
  std::string token;
  std::getline(file, token);
  return token;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("comfreyshift submit",
                           "Submits a job and waits for its whole answer.");
  options.add_options()("server", "base URL of an entry for callers",
                        cxxopts::value<std::string>())(
      "token-file", "file with the client's token",
      cxxopts::value<std::string>())(
      "key", "submission key, a UUIDv7; a new one by default",
      cxxopts::value<std::string>()->default_value(""))(
      "request", "kind of request", cxxopts::value<std::string>())(
      "payload", "text for each task",
      cxxopts::value<std::string>()->default_value(""))(
      "tasks", "number of tasks",
      cxxopts::value<uint32_t>()->default_value("1"))(
      "timeout-ms", "time for the whole job",
      cxxopts::value<uint32_t>()->default_value("30000"))(
      "json", "print the answer as JSON")("quiet", "print nothing on success")(
      "help", "show this");
  return options;
}

std::string JobBody(const SubmitOptions& options) {
  Json tasks = Json::array();
  for (uint32_t i = 0; i < options.m_tasks; ++i) {
    tasks.push_back(
        {{"request", options.m_request}, {"payload", options.m_payload}});
  }
  return Json{{"tasks", std::move(tasks)},
              {"timeout_ms", options.m_timeout.count()}}
      .dump();
}

// Sends the job, and sends it again under its key when the connection breaks.
HttpCallResult SendJob(HttpClient& client, const SubmitOptions& options) {
  HttpCall call;
  call.m_path = "/v1/jobs";
  call.m_headers = {{"Authorization", "Bearer " + options.m_token},
                    {"Idempotency-Key", options.m_key}};
  call.m_body = JobBody(options);
  call.m_deadline = BootClock::now() + options.m_timeout + kAnswerGrace;
  for (int attempt = 1;; ++attempt) {
    HttpCallResult result = client.SendAndWait(call);
    if (result || attempt == kAttempts ||
        result.error().m_failure != HttpCallFailure::kConnection) {
      return result;
    }
  }
}

int ReportError(const HttpCallError& error, const SubmitOptions& options) {
  std::cerr << options.m_key << ": no answer: " << error.m_detail << '\n';
  return error.m_state == HttpCallState::kNotSent ? kExitUnavailable
                                                  : kExitMayHaveRun;
}

int ReportAnswer(const HttpResponse& response, const SubmitOptions& options) {
  const Json body = Json::parse(response.m_body, nullptr, false);
  const std::string state =
      body.is_object() ? body.value("state", std::string()) : std::string();
  if (options.m_json) {
    std::cout << response.m_body << '\n';
  }
  if (state == "complete") {
    if (!options.m_quiet && !options.m_json) {
      std::cout << options.m_key << ": complete, " << body.at("answers").size()
                << " answers\n";
    }
    return kExitDone;
  }
  if (!options.m_json) {
    std::cerr << options.m_key << ": " << response.m_body << '\n';
  }
  if (state == "failed") {
    return body.value("failure", std::string()) == "unknown_may_have_run"
               ? kExitMayHaveRun
               : kExitFailed;
  }
  if (state == "not_run") {
    return kExitNotRun;
  }
  return state == "rejected" || response.m_status == 503 ? kExitUnavailable
                                                         : kExitFailed;
}

}  // namespace

int RunSubmit(int argc, char** argv) {
  cxxopts::Options parser = MakeOptions();
  SubmitOptions options;
  try {
    const auto arguments = parser.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << parser.help();
      return kExitDone;
    }
    for (const char* needed : {"server", "token-file", "request"}) {
      if (arguments.count(needed) == 0) {
        std::cerr << "--" << needed << " is needed\n";
        return kExitUsage;
      }
    }
    options.m_server = arguments["server"].as<std::string>();
    options.m_token = ReadToken(arguments["token-file"].as<std::string>());
    options.m_key = arguments["key"].as<std::string>();
    options.m_request = arguments["request"].as<std::string>();
    options.m_payload = arguments["payload"].as<std::string>();
    options.m_tasks = arguments["tasks"].as<uint32_t>();
    options.m_timeout = Milliseconds(arguments["timeout-ms"].as<uint32_t>());
    options.m_json = arguments.count("json") > 0;
    options.m_quiet = arguments.count("quiet") > 0;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitUsage;
  }
  if (options.m_key.empty()) {
    options.m_key = NewKey().ToString();
  }
  HttpClientOptions client_options;
  client_options.m_base_url = options.m_server;
  const auto client = HttpClient::Make(client_options);
  if (!client) {
    std::cerr << "--server: " << client.error().m_detail << '\n';
    return kExitUsage;
  }
  const HttpCallResult result = SendJob(*client.value(), options);
  return result ? ReportAnswer(result.value(), options)
                : ReportError(result.error(), options);
}

int RunNewKey(int /*argc*/, char** /*argv*/) {
  std::cout << NewKey().ToString() << '\n';
  return kExitDone;
}

}  // namespace comfreyshift
