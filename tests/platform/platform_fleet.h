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

// Runs the main loop until `condition` returns true. Returns false if that
// takes longer than `limit`.
bool RunUntil(const std::function<bool()>& condition,
              Milliseconds limit = std::chrono::seconds(10));

// The response to a request of a test, once it has arrived.
struct PendingResponse {
  bool m_has_arrived = false;
  int m_status = 0;
  std::string m_body;
  HttpHeaders m_headers;
};

// Runs an entry and two agents of the real program as processes on loopback,
// with stand-ins of the platform's store and runners.
class PlatformFleet : public testing::Test {
 protected:
  static constexpr size_t kAgents = 2;

  // Every run takes `task_run_time`.
  explicit PlatformFleet(Milliseconds task_run_time = Milliseconds(100))
      : m_task_run_time(task_run_time) {}

  void SetUp() override;
  // The address where the agent finds its runner.
  virtual Address RunnerAddress(size_t index) {
    return m_runners[index]->address();
  }
  // Lines that are added to the settings of every process.
  virtual std::string ExtraSettings() const { return ""; }

  // Start the process, or restart it if it is running.
  void StartEntry();
  void StartAgent(size_t index);

  // `headers` are added to those of every request.
  std::shared_ptr<PendingResponse> Send(const std::string& method,
                                        const std::string& path,
                                        const std::string& body = "",
                                        const HttpHeaders& headers = {});
  // The same through another client than that of the first entry.
  static std::shared_ptr<PendingResponse> SendThrough(
      HttpClient& client,
      const std::string& method,
      const std::string& path,
      const std::string& body,
      const HttpHeaders& headers = {});
  std::shared_ptr<PendingResponse> SubmitJob(uint32_t tasks,
                                             const HttpHeaders& headers = {});
  bool IsReady();
  // Stores a configuration and waits until the entry is ready and all running
  // agents accept runs.
  void ConfigureAndWaitUntilReady();
  // Returns the number of log lines with `event`.
  static size_t CountEvents(const PlatformProcess& process,
                            const std::string& event);
  uint64_t StartCount() const;
  // Runs the main loop until `condition` returns true, and checks all the while
  // that no task runs on two runners. Returns false if the condition does not
  // hold within ten seconds.
  bool RunUntilAndCheckRuns(const std::function<bool()>& condition);

  const Milliseconds m_task_run_time;
  PlatformStoreStandin m_store;
  // Injects faults between the entry and the store.
  FaultProxy m_store_proxy{m_store.address()};
  Address m_client_address;
  Address m_readiness_address;
  std::vector<std::unique_ptr<RunnerStandin>> m_runners;
  std::vector<std::unique_ptr<PlatformProcess>> m_agents;
  std::unique_ptr<PlatformProcess> m_entry;
  std::shared_ptr<HttpClient> m_client;
  std::shared_ptr<HttpClient> m_readiness_client;
  uint32_t m_job_count = 0;

 private:
  std::string EntrySettings() const;
};

}  // namespace comfreyshift

#endif  // TESTS_PLATFORM_PLATFORM_FLEET_H_
