#include "tests/standins/platform_documents.h"

#include <nlohmann/json.hpp>

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

// The fields that both roles read.
std::string CommonSettings(const std::string& name,
                           uint16_t link_port,
                           const Address& store) {
  const std::string port = std::to_string(link_port);
  return "node_name=" + name + "\nip=127.0.0.1\nzone=zone\nport_range=" + port +
         "," + port + "\nplatform.address=" + store.ToString() +
         "\nbounds.grace_s=6\n";
}

}  // namespace

std::string ConfigText(uint64_t version) {
  const Json route{{"name", "queue"},   {"hostname", "h.example"},
                   {"prefix", "/p/"},   {"target_latency_ms", 60},
                   {"priority", 0},     {"service", "service"},
                   {"max_attempts", 2}, {"stretch", 1.6}};
  return Json{{"version", version},
              {"routes", Json::array({route})},
              {"limits", Json::object()}}
      .dump();
}

std::string JobText(uint64_t tasks,
                    Milliseconds estimated_run_time,
                    const std::string& task_text) {
  const Json step{{"count", tasks},
                  {"cpu", 1000},
                  {"mem_mb", 64},
                  {"est_runtime_ms", estimated_run_time.count()}};
  return Json{{"task_spec", task_text},
              {"best_effort", true},
              {"steps", Json::array({step})}}
      .dump();
}

std::string EntrySettingsText(const std::string& name,
                              const Address& clients,
                              const Address& readiness,
                              uint16_t link_port,
                              const Address& store) {
  return CommonSettings(name, link_port, store) +
         "listen.front=" + clients.ToString() +
         "\nlisten.ready_addr=" + readiness.ToString() + "\n";
}

std::string AgentSettingsText(const std::string& name,
                              const Address& heartbeats,
                              uint16_t link_port,
                              const Address& runner,
                              const Address& store) {
  return CommonSettings(name, link_port, store) +
         "listen.control=" + heartbeats.ToString() +
         "\napp=" + runner.ToString() + "\n";
}

}  // namespace comfreyshift
