#ifndef TESTS_PLATFORM_RUNNER_STANDIN_H_
#define TESTS_PLATFORM_RUNNER_STANDIN_H_

#include <glib.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/emulator.h"
#include "http/http.h"

namespace comfreyshift {

// A stand-in of a runner of the users' platform: it speaks their protocol over
// HTTP in real time and sends heartbeats to its agent.
class RunnerStandin {
 public:
  // Every task takes `work`.
  RunnerStandin(std::string id,
                const Address& heartbeats_to,
                Microseconds work);
  ~RunnerStandin();
  RunnerStandin(const RunnerStandin&) = delete;
  RunnerStandin& operator=(const RunnerStandin&) = delete;

  const Address& address() const { return m_address; }
  const RunnerEmulation& runner() const { return m_runner; }
  // Names of tasks that were at work twice at once, on this runner.
  void set_is_draining(bool is_draining) { m_is_draining = is_draining; }

 private:
  using RequestPointer = std::shared_ptr<HttpRequest>;
  struct Look {
    RequestPointer m_request;
    PollRequest m_order;
  };

  void HandleStart(const RequestPointer& request);
  void HandleStop(const RequestPointer& request);
  void HandleHold(const RequestPointer& request);
  void AnswerLooks(MonoTime now);
  void SendHeartbeat();
  bool IsForOther(const RequestPointer& request) const;
  static gboolean OnTick(gpointer self);

  std::string m_id;
  Microseconds m_work;
  RunnerEmulation::Behaviours m_behaviours;
  RunnerEmulation m_runner;
  HttpServer m_server;
  Address m_address;
  std::shared_ptr<HttpClient> m_heartbeats;
  std::vector<Look> m_looks;
  MonoTime m_heartbeat_at;
  uint64_t m_sequence = 0;
  bool m_is_draining = false;
  guint m_timer = 0;
};

}  // namespace comfreyshift

#endif  // TESTS_PLATFORM_RUNNER_STANDIN_H_
