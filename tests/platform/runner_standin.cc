#include "tests/platform/runner_standin.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "platform/runner_wire.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr const char* kJson = "application/json";
constexpr Resources kCapacity{10'000, 4096, 0};
constexpr Milliseconds kHeartbeatInterval{500};
constexpr guint kTickMs = 2;
constexpr std::string_view kTimedTask = "run for ms: ";

int StatusOf(StartResult answer) {
  return answer == StartResult::kStarted ? 200 : 409;
}

const char* ReasonOf(StartResult answer) {
  switch (answer) {
    case StartResult::kFenced:
      return "fence";
    case StartResult::kNumberTooLow:
      return "old";
    default:
      return "late";
  }
}

const char* OutcomeText(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    default:
      return "stopped";
  }
}

}  // namespace

std::string TimedTaskText(Milliseconds run_time) {
  return std::string(kTimedTask) + std::to_string(run_time.count());
}

RunnerStandin::RunnerStandin(std::string id,
                             const Address& heartbeats_to,
                             Microseconds task_run_time)
    : m_id(std::move(id)),
      m_task_run_time(task_run_time),
      m_runner({m_id, 1}, kCapacity, 1.0, m_behaviours),
      m_server(uint64_t{1} << 20) {
  HttpClientOptions options;
  options.m_base_url = "http://" + heartbeats_to.ToString();
  m_heartbeats = HttpClient::Make(options).value();
  m_server.AddRoute("POST", "/api/run-start", PublicAccess{},
                    [this](const RequestPointer& r) { HandleStart(r); });
  m_server.AddRoute("POST", "/api/run-stop", PublicAccess{},
                    [this](const RequestPointer& r) { HandleStop(r); });
  m_server.AddRoute("POST", "/api/hold", PublicAccess{},
                    [this](const RequestPointer& r) { HandleHold(r); });
  m_address = m_server.Listen({"127.0.0.1", 0}).value();
  m_timer = g_timeout_add(kTickMs, &RunnerStandin::OnTick, this);
}

RunnerStandin::~RunnerStandin() {
  g_source_remove(m_timer);
}

gboolean RunnerStandin::OnTick(gpointer data) {
  auto* self = static_cast<RunnerStandin*>(data);
  const MonoTime now = BootClock::now();
  self->m_runner.Advance(now);
  self->ExecuteDueStops(now);
  self->AnswerPolls(now);
  if (!self->m_has_left && now >= self->m_heartbeat_at) {
    self->m_heartbeat_at = now + kHeartbeatInterval;
    self->SendHeartbeat();
  }
  return G_SOURCE_CONTINUE;
}

void RunnerStandin::SendHeartbeat() {
  SendHeartbeatAs(m_id);
}

void RunnerStandin::SendHeartbeatAs(const std::string& id) {
  HttpCall call;
  call.m_method = "PUT";
  call.m_path = "/api/instances/" + id;
  call.m_body = Json{{"service", "service"},
                     {"address", m_address.ToString()},
                     {"zone", "zone"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"cold_left_ms", 0},
                     {"state", m_is_draining ? "draining" : "ready"},
                     {"capacity",
                      {{"cpu", kCapacity.m_cpu_millis},
                       {"mem_mb", kCapacity.m_memory_mb},
                       {"gpu", 0}}},
                     {"labels", {"a", "r1"}},
                     {"clock_ms", 1},
                     {"born", m_runner.incarnation().m_start_time_ms},
                     {"seq", ++m_sequence}}
                    .dump();
  call.m_deadline = BootClock::now() + Milliseconds(1000);
  m_heartbeats->Send(std::move(call), [](const HttpCallResult&) {});
}

void RunnerStandin::Leave() {
  m_has_left = true;
  SendLeave();
}

void RunnerStandin::SendLeave() {
  HttpCall call;
  call.m_method = "DELETE";
  call.m_path = "/api/instances/" + m_id;
  call.m_deadline = BootClock::now() + Milliseconds(1000);
  m_heartbeats->Send(std::move(call), [this](const HttpCallResult& result) {
    m_is_leave_acknowledged = result.has_value();
  });
}

void RunnerStandin::RestartAs(const std::string& id) {
  m_id = id;
  m_runner.Restart(BootClock::now());
  m_pending_polls.clear();
  m_pending_stops.clear();
  m_sequence = 0;
  m_heartbeat_at = BootClock::now();
}

bool RunnerStandin::IsLeftUnanswered(Unanswered requests) const {
  return BootClock::now() < m_unanswered_until &&
         (m_unanswered == requests || m_unanswered == Unanswered::kAll);
}

Microseconds RunnerStandin::RunTimeOf(const std::string& task_text) const {
  return task_text.starts_with(kTimedTask)
             ? Milliseconds(std::stoll(task_text.substr(kTimedTask.size())))
             : m_task_run_time;
}

bool RunnerStandin::RejectIfMisdirected(const RequestPointer& request) const {
  if (request->Header("Target-Instance") == m_id) {
    return false;
  }
  request->Reply(421, kJson, "{}");
  return true;
}

void RunnerStandin::HandleStart(const RequestPointer& request) {
  if (IsLeftUnanswered(Unanswered::kAll) || RejectIfMisdirected(request)) {
    return;
  }
  const Json body = Json::parse(request->body());
  StartRequest decoded_request;
  decoded_request.m_process_incarnation = m_runner.incarnation();
  decoded_request.m_run = {
      *platform::ParseTaskName(body["task_id"].get<std::string>()),
      body["run_id"]};
  decoded_request.m_fencing_token = body["fencing_token"];
  decoded_request.m_lease_until =
      RunnerTime(body["deadline_ms"].get<int64_t>());
  m_behaviours[decoded_request.m_run.m_task] = {
      {1000, 64, 0}, RunTimeOf(body.value("task_spec", "")), false};
  const StartResult answer = m_runner.Start(decoded_request, BootClock::now());
  if (IsLeftUnanswered(Unanswered::kStarts)) {
    return;
  }
  request->ReplyJson(m_start_status == 0 ? StatusOf(answer) : m_start_status,
                     {{"clock_ms", 1}, {"reason", ReasonOf(answer)}});
}

void RunnerStandin::HandleStop(const RequestPointer& request) {
  if (IsLeftUnanswered(Unanswered::kStops) || RejectIfMisdirected(request)) {
    return;
  }
  if (m_stop_delay == Milliseconds::max()) {
    m_pending_stops.push_back({request, MonoTime::max()});
    return;
  }
  m_pending_stops.push_back({request, BootClock::now() + m_stop_delay});
  ExecuteDueStops(BootClock::now());
}

void RunnerStandin::ExecuteDueStops(MonoTime now) {
  std::erase_if(m_pending_stops, [&](const PendingStop& stop) {
    if (stop.m_due_at > now) {
      return false;
    }
    ExecuteStop(stop.m_request);
    return true;
  });
}

void RunnerStandin::ExecuteStop(const RequestPointer& request) {
  const Json body = Json::parse(request->body());
  StopRequest decoded_request;
  decoded_request.m_process_incarnation = m_runner.incarnation();
  decoded_request.m_run = {
      *platform::ParseTaskName(body["task_id"].get<std::string>()),
      body["run_id"]};
  decoded_request.m_fencing_token = body["fencing_token"];
  const bool is_accepted =
      m_runner.Stop(decoded_request, BootClock::now()) == StopResult::kAccepted;
  request->ReplyJson(is_accepted ? 200 : 409,
                     {{"clock_ms", 1}, {"reason", "fence"}});
}

void RunnerStandin::HandleHold(const RequestPointer& request) {
  if (IsLeftUnanswered(Unanswered::kAll) || RejectIfMisdirected(request)) {
    return;
  }
  const Json body = Json::parse(request->body());
  PollRequest decoded_request;
  decoded_request.m_process_incarnation = m_runner.incarnation();
  decoded_request.m_fencing_token = body["fencing_token"];
  decoded_request.m_acknowledged_ends = body["acked_upto"];
  if (body.contains("deadline_ms")) {
    decoded_request.m_lease_until =
        RunnerTime(body["deadline_ms"].get<int64_t>());
  }
  const MonoTime now = BootClock::now();
  decoded_request.m_answer_by =
      now + Milliseconds(body.value("wait_ms", int64_t{0}));
  m_runner.Poll(decoded_request, now);
  m_pending_polls.push_back({request, decoded_request});
  AnswerPolls(now);
}

void RunnerStandin::AnswerPolls(MonoTime now) {
  if (IsLeftUnanswered(Unanswered::kAll)) {
    return;
  }
  std::erase_if(m_pending_polls, [&](const PendingPoll& poll) {
    if (!m_runner.has_news() && poll.m_request_fields.m_answer_by > now) {
      return false;
    }
    const auto answer = m_runner.Poll(poll.m_request_fields, now);
    const auto* lists = std::get_if<RunLists>(&answer);
    if (lists == nullptr) {
      poll.m_request->ReplyJson(409, {{"clock_ms", 1}, {"reason", "fence"}});
      return true;
    }
    Json running = Json::array();
    for (const ActiveRun& row : lists->m_running) {
      running.push_back({platform::TaskName(row.m_run.m_task),
                         row.m_run.m_number, "",
                         static_cast<int64_t>(row.m_progress_percent), 1000});
    }
    Json ended = Json::array();
    for (const EndedRun& row : lists->m_ended) {
      ended.push_back({row.m_number, platform::TaskName(row.m_run.m_task),
                       row.m_run.m_number, OutcomeText(row.m_outcome), ""});
    }
    poll.m_request->ReplyJson(200,
                              {{"clock_ms", lists->m_clock.count()},
                               {"born", m_runner.incarnation().m_start_time_ms},
                               {"running", running},
                               {"ended", ended}});
    return true;
  });
}

}  // namespace comfreyshift
