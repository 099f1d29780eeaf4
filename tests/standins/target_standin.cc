// Stands in for a target in tests and demonstrations: an HTTP server that runs
// each task for the time its payload names, and keeps its own record of every
// start, so that starts are counted where they happen.
//
// POST /run/REQUEST with `Idempotency-Key: KEY/INDEX` and a JSON payload:
//   {"run_ms": 20}                 answers 200 after 20 ms times --slowness
//   {"run_ms": 5, "status": 500}   answers with that status
// GET /records answers with all starts, one JSON object a line.
// POST /control with {"fail_all": true} makes every later task fail at once.

#include <libsoup/soup.h>

#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace comfreyshift {
namespace {

using Json = nlohmann::json;

struct StandInOptions {
  uint16_t m_port = 0;
  double m_slowness = 1.0;
  bool m_fail_all = false;
  std::string m_record_file;
};

struct StartLine {
  std::string m_task;
  std::string m_request;
  std::string m_client;
  WallTime m_started_at;
};

std::string ToJsonLine(const StartLine& line) {
  return Json{{"task", line.m_task},
              {"request", line.m_request},
              {"client", line.m_client},
              {"started_ms", line.m_started_at.time_since_epoch().count()}}
             .dump() +
         "\n";
}

class TargetStandIn {
 public:
  explicit TargetStandIn(StandInOptions options)
      : m_options(std::move(options)) {
    if (!m_options.m_record_file.empty()) {
      m_file = std::fopen(m_options.m_record_file.c_str(), "a");
    }
    m_server = soup_server_new("server-header", "target_standin", nullptr);
    soup_server_add_handler(m_server, "/run", &OnRun, this, nullptr);
    soup_server_add_handler(m_server, "/records", &OnRecords, this, nullptr);
    soup_server_add_handler(m_server, "/control", &OnControl, this, nullptr);
  }

  bool Listen() {
    GError* error = nullptr;
    if (soup_server_listen_local(m_server, m_options.m_port,
                                 SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
      return true;
    }
    std::fprintf(stderr, "cannot listen on port %u: %s\n", m_options.m_port,
                 error->message);
    g_error_free(error);
    return false;
  }

 private:
  // A task that runs: ends the HTTP exchange when its time is over.
  struct Running {
    SoupServerMessage* m_message;
    guint m_status;
  };

  static void Respond(SoupServerMessage* message,
                      guint status,
                      const std::string& body) {
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, body.data(),
                                     body.size());
  }

  static gboolean OnTaskEnd(gpointer data) {
    const std::unique_ptr<Running> running(static_cast<Running*>(data));
    Respond(running->m_message, running->m_status, R"({"done":true})");
    soup_server_message_unpause(running->m_message);
    g_object_unref(running->m_message);
    return G_SOURCE_REMOVE;
  }

  static void OnRun(SoupServer* /*server*/,
                    SoupServerMessage* message,
                    const char* path,
                    GHashTable* /*query*/,
                    gpointer self) {
    static_cast<TargetStandIn*>(self)->Run(message, path);
  }

  static std::string Header(SoupServerMessage* message, const char* name) {
    const char* value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
    return value == nullptr ? std::string() : std::string(value);
  }

  void Run(SoupServerMessage* message, const std::string& path) {
    const SoupMessageBody* body = soup_server_message_get_request_body(message);
    const Json payload =
        Json::parse(body->data, body->data + body->length, nullptr, false);
    if (!payload.is_object()) {
      Respond(message, 400, R"({"error":"payload is not a JSON object"})");
      return;
    }
    Record({Header(message, "Idempotency-Key"),
            path.substr(path.rfind('/') + 1),
            Header(message, "Comfreyshift-Client"), WallNow()});
    if (m_options.m_fail_all) {
      Respond(message, 500, R"({"error":"target fails every task"})");
      return;
    }
    const double run_ms = payload.value("run_ms", 0.0) * m_options.m_slowness;
    auto running = std::make_unique<Running>();
    running->m_message = message;
    running->m_status = payload.value("status", 200U);
    g_object_ref(message);
    soup_server_message_pause(message);
    g_timeout_add(static_cast<guint>(run_ms), &OnTaskEnd, running.release());
  }

  void Record(StartLine line) {
    if (m_file != nullptr) {
      const std::string text = ToJsonLine(line);
      std::fwrite(text.data(), 1, text.size(), m_file);
      std::fflush(m_file);
    }
    m_starts.push_back(std::move(line));
  }

  static void OnRecords(SoupServer* /*server*/,
                        SoupServerMessage* message,
                        const char* /*path*/,
                        GHashTable* /*query*/,
                        gpointer self) {
    std::string text;
    for (const StartLine& line : static_cast<TargetStandIn*>(self)->m_starts) {
      text += ToJsonLine(line);
    }
    Respond(message, 200, text);
  }

  static void OnControl(SoupServer* /*server*/,
                        SoupServerMessage* message,
                        const char* /*path*/,
                        GHashTable* /*query*/,
                        gpointer self) {
    const SoupMessageBody* body = soup_server_message_get_request_body(message);
    const Json command =
        Json::parse(body->data, body->data + body->length, nullptr, false);
    if (!command.is_object()) {
      Respond(message, 400, R"({"error":"command is not a JSON object"})");
      return;
    }
    static_cast<TargetStandIn*>(self)->m_options.m_fail_all =
        command.value("fail_all", false);
    Respond(message, 200, "{}");
  }

  StandInOptions m_options;
  SoupServer* m_server = nullptr;
  std::FILE* m_file = nullptr;
  std::vector<StartLine> m_starts;
};

}  // namespace
}  // namespace comfreyshift

int main(int argc, char** argv) {
  cxxopts::Options options("target_standin", "Stands in for a target.");
  options.add_options()("port", "TCP port on 127.0.0.1",
                        cxxopts::value<uint16_t>())(
      "slowness", "factor on every run time",
      cxxopts::value<double>()->default_value("1"))("fail-all",
                                                    "fail every task at once")(
      "record-file", "append each start to this file as a JSON line",
      cxxopts::value<std::string>()->default_value(""))("help", "show this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0 || arguments.count("port") == 0) {
    std::puts(options.help().c_str());
    return arguments.count("help") > 0 ? 0 : 2;
  }
  comfreyshift::TargetStandIn target(
      {arguments["port"].as<uint16_t>(), arguments["slowness"].as<double>(),
       arguments.count("fail-all") > 0,
       arguments["record-file"].as<std::string>()});
  if (!target.Listen()) {
    return 1;
  }
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
  return 0;
}
