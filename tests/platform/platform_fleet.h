#ifndef TESTS_PLATFORM_PLATFORM_FLEET_H_
#define TESTS_PLATFORM_PLATFORM_FLEET_H_

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"
#include "http/http.h"
#include "tests/platform/runner_standin.h"
#include "tests/standins/fault_proxy.h"
#include "tests/standins/platform_store_standin.h"
#include "tests/standins/role_process.h"

namespace comfreyshift {

// Runs the main loop for `time`.
void RunFor(Milliseconds time);

// Runs the main loop until `is_true`; false after ten seconds.
bool RunUntil(const std::function<bool()>& is_true);

// What a call of a test was answered.
struct Answer {
  bool m_is_there = false;
  int m_status = 0;
  std::string m_body;
  HttpHeaders m_headers;
};

// An entry and two agents of the real program, as processes on loopback, with
// stand-ins of the platform's store and runners.
class PlatformFleet : public testing::Test {
 protected:
  static constexpr size_t kAgents = 2;

  void SetUp() override;

  // Each replaces the process that there is.
  void StartEntry();
  void StartAgent(size_t index);

  // `headers` are added to those that each request has.
  std::shared_ptr<Answer> Send(const std::string& method,
                               const std::string& path,
                               const std::string& body = "",
                               const HttpHeaders& headers = {});
  std::shared_ptr<Answer> SubmitJob(uint32_t tasks,
                                    const HttpHeaders& headers = {});
  bool IsReady();
  // Puts a configuration in force and waits until the agents that there are
  // take jobs.
  void BecomeReady();
  // Lines of `event` in the log.
  static size_t Count(const PlatformProcess& process, const std::string& event);
  uint64_t Starts() const;

  PlatformStoreStandin m_store;
  // Between the entry and the store.
  FaultProxy m_entry_store{m_store.address()};
  Address m_clients;
  Address m_readiness;
  std::vector<std::unique_ptr<RunnerStandin>> m_runners;
  std::vector<std::unique_ptr<PlatformProcess>> m_agents;
  std::unique_ptr<PlatformProcess> m_entry;
  std::shared_ptr<HttpClient> m_client;
  std::shared_ptr<HttpClient> m_prober;
  uint32_t m_jobs = 0;

 private:
  std::string EntrySettings() const;
};

}  // namespace comfreyshift

#endif  // TESTS_PLATFORM_PLATFORM_FLEET_H_
