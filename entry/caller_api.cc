#include "entry/caller_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "entry/job_json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kJsonType = "application/json";

// Refuses this sending because of its form. An earlier one with the same key
// may have had another.
void ReplyNotRun(HttpRequest& request,
                 int status,
                 std::string_view reason,
                 std::string_view detail) {
  request.ReplyJson(
      status, {{"state", "not_run"}, {"reason", reason}, {"detail", detail}});
}

std::optional<WallTime> ParseUnixMs(const std::string& text) {
  int64_t ms = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (error != std::errc() || end != text.data() + text.size() || ms < 0) {
    return std::nullopt;
  }
  return WallTime(Milliseconds(ms));
}

struct KeyAndTime {
  SubmissionKey m_key;
  WallTime m_first_sent;
};

// Reads the submission key with the time of its first sending, or replies why
// it cannot be used.
std::optional<KeyAndTime> ReadKey(HttpRequest& request) {
  const auto text = request.Header("Idempotency-Key");
  const auto key = text ? SubmissionKey::Parse(*text) : std::nullopt;
  if (!key) {
    ReplyNotRun(request, 400, "malformed_key",
                "Idempotency-Key must be a UUID of 36 characters");
    return std::nullopt;
  }
  const auto header = request.Header("First-Sent");
  const auto first_sent = header ? ParseUnixMs(*header) : key->FirstSent();
  if (!first_sent) {
    ReplyNotRun(request, 400, "key_without_time",
                "Idempotency-Key must be a UUIDv7, or First-Sent must hold the "
                "unix milliseconds of the first sending");
    return std::nullopt;
  }
  if (*first_sent > WallNow() + kAllowedClockError) {
    ReplyNotRun(request, 400, "key_in_future",
                "the key's time is more than 5 s ahead");
    return std::nullopt;
  }
  return KeyAndTime{*key, *first_sent};
}

}  // namespace

CallerApi::CallerApi(CallerApiConfig config, EntryProcess& entry)
    : m_config(config), m_entry(entry), m_random(std::random_device()()) {}

void CallerApi::AddRoutes(HttpServer& server) {
  const CallerAccess access{
      [this]() -> const std::vector<ClientToken>& { return Tokens(); }};
  server.AddRoute("POST", "/v1/jobs", access,
                  [this](const RequestPtr& request) { PostJob(request); });
  server.AddRoute("GET", "/v1/jobs/{}", access,
                  [this](const RequestPtr& request) { GetJob(request); });
  server.AddRoute("POST", "/v1/jobs/{}/cancel", access,
                  [this](const RequestPtr& request) { CancelJob(request); });
  server.AddRoute("POST", "/v1/requests", access,
                  [this](const RequestPtr& request) { PostRequest(request); });
}

const std::vector<ClientToken>& CallerApi::Tokens() {
  const Revision revision = m_entry.node().applied_revision();
  if (revision == m_tokens_revision) {
    return m_tokens;
  }
  m_tokens_revision = revision;
  m_tokens.clear();
  for (const auto& [name, client] :
       m_entry.node().view().inventory()->m_clients) {
    m_tokens.push_back({name, client.m_token_sha256});
  }
  return m_tokens;
}

void CallerApi::PostJob(const RequestPtr& request) {
  Json body;
  if (!ParseJsonBody(*request, body)) {
    return;
  }
  const auto key = ReadKey(*request);
  if (!key) {
    return;
  }
  auto tasks = ReadTasks(body);
  if (!tasks) {
    ReplyNotRun(*request, 400, "malformed_job", tasks.error().m_message);
    return;
  }
  const auto timeout = ReadTimeout(body);
  if (!timeout) {
    ReplyNotRun(*request, 400, "malformed_job", timeout.error().m_message);
    return;
  }
  Run(request, {key->m_key, key->m_first_sent, request->client(),
                std::move(tasks.value()), BootClock::now() + timeout.value()});
}

void CallerApi::PostRequest(const RequestPtr& request) {
  Json body;
  if (!ParseJsonBody(*request, body)) {
    return;
  }
  const auto timeout = ReadTimeout(body);
  if (!timeout) {
    ReplyNotRun(*request, 400, "malformed_job", timeout.error().m_message);
    return;
  }
  body.erase("timeout_ms");
  auto task = ReadTask(body);
  if (!task) {
    ReplyNotRun(*request, 400, "malformed_job", task.error().m_message);
    return;
  }
  const WallTime now = WallNow();
  Run(request, {SubmissionKey::Make(now, m_random(), m_random()),
                now,
                request->client(),
                {std::move(task.value())},
                BootClock::now() + timeout.value()});
}

void CallerApi::Run(const RequestPtr& request, Submission submission) {
  m_entry.Submit(std::move(submission), [request](const SessionAnswer& answer) {
    const HttpAnswer http = ToHttp(answer);
    request->Reply(http.m_status, std::string(kJsonType), http.m_body);
  });
}

void CallerApi::GetJob(const RequestPtr& request) {
  const auto key = SubmissionKey::Parse(request->arguments().front());
  if (!key) {
    request->ReplyError(404, "not_found", "the path does not name a job key");
    return;
  }
  m_entry.Fetch(*key, [request](std::optional<JobAnswer> answer) {
    if (!answer) {
      request->ReplyError(404, "not_found", "no ended job has this key");
      return;
    }
    const HttpAnswer http = ToHttp(SessionAnswer(*answer));
    request->Reply(200, std::string(kJsonType), http.m_body);
  });
}

void CallerApi::CancelJob(const RequestPtr& request) {
  const auto key = SubmissionKey::Parse(request->arguments().front());
  if (!key) {
    request->ReplyError(404, "not_found", "the path does not name a job key");
    return;
  }
  m_entry.Cancel(*key, [request, key = *key](bool known) {
    if (!known) {
      request->ReplyError(404, "not_found", "no running job has this key");
      return;
    }
    request->ReplyJson(200, {{"key", key.ToString()}, {"cancelled", true}});
  });
}

}  // namespace comfreyshift
