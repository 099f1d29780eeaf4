#ifndef TESTS_PLATFORM_RUNNER_STANDIN_H_
#define TESTS_PLATFORM_RUNNER_STANDIN_H_

#include <glib.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/emulator.h"
#include "http/http.h"

namespace comfreyshift {

// Requests that a runner leaves unanswered.
enum class Unanswered {
  kNothing,
  // Requests to stop a run; they are not carried out.
  kStops,
  // Requests to start a run; they are carried out.
  kStarts,
  // Every request; none is carried out.
  kAll
};

// The text of a task that takes `run_time` on a RunnerStandin.
std::string TimedTaskText(Milliseconds run_time);

// A stand-in for a runner of the users' platform. It serves the platform's
// protocol over HTTP in real time and sends heartbeats to its agent.
class RunnerStandin {
 public:
  // Every run takes `task_run_time`, unless its text says otherwise.
  RunnerStandin(std::string id,
                const Address& heartbeats_to,
                Microseconds task_run_time);
  ~RunnerStandin();
  RunnerStandin(const RunnerStandin&) = delete;
  RunnerStandin& operator=(const RunnerStandin&) = delete;

  const Address& address() const { return m_address; }
  const RunnerEmulation& runner() const { return m_runner; }
  // Sets the state that later heartbeats report.
  void set_is_draining(bool is_draining) { m_is_draining = is_draining; }
  // Tells the agent that the runner leaves, and ends its heartbeats. It goes on
  // answering requests.
  void Leave();
  // Tells the agent that the runner leaves, but goes on, heartbeats included.
  void SendLeave();
  // Crashes, which ends all runs unseen, and starts again at once under `id`,
  // at the same address. Requests that wait for an answer get none.
  void RestartAs(const std::string& id);
  void Restart() { RestartAs(m_id); }
  // Leaves requests unanswered until `until`.
  void LeaveUnanswered(Unanswered requests, MonoTime until) {
    m_unanswered = requests;
    m_unanswered_until = until;
  }
  // Sends one heartbeat under another id, as another writer might.
  void SendHeartbeatAs(const std::string& id);
  bool is_leave_acknowledged() const { return m_is_leave_acknowledged; }
  // Answers requests to start a run with `status` from now on, although it
  // carries them out.
  void set_start_status(int status) { m_start_status = status; }
  // Requests to stop a run are carried out and answered `delay` after they
  // arrive; never with Milliseconds::max().
  void set_stop_delay(Milliseconds delay) { m_stop_delay = delay; }

 private:
  using RequestPointer = std::shared_ptr<HttpRequest>;
  struct PendingPoll {
    RequestPointer m_request;
    PollRequest m_request_fields;
  };
  struct PendingStop {
    RequestPointer m_request;
    MonoTime m_due_at;
  };

  void HandleStart(const RequestPointer& request);
  void HandleStop(const RequestPointer& request);
  void ExecuteDueStops(MonoTime now);
  void ExecuteStop(const RequestPointer& request);
  void HandleHold(const RequestPointer& request);
  void AnswerPolls(MonoTime now);
  void SendHeartbeat();
  bool IsLeftUnanswered(Unanswered requests) const;
  Microseconds RunTimeOf(const std::string& task_text) const;
  bool RejectIfMisdirected(const RequestPointer& request) const;
  static gboolean OnTick(gpointer self);

  std::string m_id;
  Microseconds m_task_run_time;
  RunnerEmulation::Behaviours m_behaviours;
  RunnerEmulation m_runner;
  HttpServer m_server;
  Address m_address;
  std::shared_ptr<HttpClient> m_heartbeats;
  std::vector<PendingPoll> m_pending_polls;
  std::vector<PendingStop> m_pending_stops;
  MonoTime m_heartbeat_at;
  uint64_t m_sequence = 0;
  // Rises with each restart.
  Milliseconds m_stop_delay{0};
  bool m_is_draining = false;
  bool m_has_left = false;
  bool m_is_leave_acknowledged = false;
  Unanswered m_unanswered = Unanswered::kNothing;
  MonoTime m_unanswered_until;
  // Status of the answers to start requests; 0 for the true one.
  int m_start_status = 0;
  guint m_timer = 0;
};

}  // namespace comfreyshift

#endif  // TESTS_PLATFORM_RUNNER_STANDIN_H_
