#include "store/edit_runner.h"

#include <utility>

#include "store/timer.h"

namespace comfreyshift {

namespace {

CallEffect EffectOf(const StoreError& error) {
  switch (error.m_effect) {
    case StoreEffect::kNotWritten:
      return CallEffect::kNotWritten;
    case StoreEffect::kMayBeWritten:
      return CallEffect::kMayBeWritten;
    case StoreEffect::kUnavailable:
      return CallEffect::kUnavailable;
  }
  return CallEffect::kMayBeWritten;
}

// One edit in progress. Its pending call or timer keeps it alive.
class EditRunner : public std::enable_shared_from_this<EditRunner> {
 public:
  EditRunner(std::shared_ptr<StoreClient> client,
             EditProcess process,
             MonoTime deadline,
             WriteCheck check,
             std::function<void(EditOutcome)> done)
      : m_client(std::move(client)),
        m_process(std::move(process)),
        m_deadline(deadline),
        m_check(std::move(check)),
        m_done(std::move(done)),
        m_backoff(m_client->NewBackoff()) {}

  void Start() {
    m_timer.Set(BootClock::now(),
                [self = shared_from_this()] { self->Step(); });
  }

 private:
  // Waits before a repeated call.
  void Step() {
    MonoTime now = BootClock::now();
    auto step = m_process.NextStep(now);
    if (auto* outcome = std::get_if<EditOutcome>(&step)) {
      std::exchange(m_done, nullptr)(std::move(*outcome));
      return;
    }
    auto& call = std::get<EditCall>(step);
    if (!call.m_repeated) {
      m_backoff.Reset();
      Send(call);
      return;
    }
    MonoTime next = std::min(m_backoff.Next(now), m_deadline);
    m_timer.Set(next, [self = shared_from_this()] { self->StepAfterWait(); });
  }

  void StepAfterWait() {
    auto step = m_process.NextStep(BootClock::now());
    if (auto* call = std::get_if<EditCall>(&step)) {
      Send(*call);
      return;
    }
    Step();
  }

  void Send(const EditCall& call) {
    if (call.m_writes && m_check) {
      if (std::optional<std::string> reason = m_check()) {
        m_process.OnFailure(CallEffect::kUnavailable, *reason);
        Step();
        return;
      }
    }
    m_client->Txn(
        call.m_txn, {.m_deadline = m_deadline},
        [self = shared_from_this()](Result<TxnReply, StoreError> reply) {
          self->OnAnswer(std::move(reply));
        });
  }

  void OnAnswer(Result<TxnReply, StoreError> reply) {
    if (reply) {
      m_process.OnReply(std::move(reply).assume_value());
    } else {
      StoreError error = std::move(reply).assume_error();
      m_process.OnFailure(EffectOf(error), error.m_message);
    }
    Step();
  }

  std::shared_ptr<StoreClient> m_client;
  EditProcess m_process;
  MonoTime m_deadline;
  WriteCheck m_check;
  std::function<void(EditOutcome)> m_done;
  Backoff m_backoff;
  Timer m_timer;
};

AuditPage MakePage(const RangeReply& reply) {
  AuditPage page;
  for (const KeyValue& kv : reply.m_key_values) {
    auto record = DecodeAuditRecord(kv);
    if (record) {
      page.m_records.push_back(std::move(record).assume_value());
    } else {
      ++page.m_malformed;
    }
  }
  if (reply.m_more) {
    page.m_next_before_key = reply.m_key_values.back().m_key;
  }
  return page;
}

}  // namespace

Result<void, ConfigError> RunEdit(const std::shared_ptr<StoreClient>& client,
                                  Edit edit,
                                  MonoTime deadline,
                                  WriteCheck check,
                                  std::function<void(EditOutcome)> done) {
  BOOST_OUTCOME_TRY(process, EditProcess::Create(std::move(edit), deadline));
  std::make_shared<EditRunner>(client, std::move(process), deadline,
                               std::move(check), std::move(done))
      ->Start();
  return outcome::success();
}

void ReadAudit(StoreClient& client,
               const AuditQuery& query,
               const CallOptions& options,
               StoreClient::Callback<AuditPage> callback) {
  client.Range(
      AuditRequest(query), options,
      [callback = std::move(callback)](Result<RangeReply, StoreError> reply) {
        if (!reply) {
          callback(std::move(reply).assume_error());
          return;
        }
        callback(MakePage(reply.assume_value()));
      });
}

}  // namespace comfreyshift
