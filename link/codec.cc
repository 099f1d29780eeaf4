#include "link/codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <utility>

#include "link/link.capnp.h"

namespace comfreyshift {

namespace {

constexpr size_t kLengthPrefixBytes = 4;

// Limits what is read of a frame. Reading a valid message visits some of its
// parts more than once.
constexpr uint64_t kMaxReadsOfAWord = 4;
constexpr uint64_t kMinTraversalLimitWords = 1024;

// Remaining times from a peer are clamped to this: far longer than any real
// deadline, and short enough not to overflow a time point.
constexpr Microseconds kMaxTimeLeft = std::chrono::hours(24);

// Numbers outside of these ranges come from a defective peer. Sums of numbers
// within them do not overflow.
constexpr int64_t kMaxResource = 1'000'000'000'000'000;
constexpr double kMaxSlowness = 1e6;
constexpr Microseconds kMaxRunTime{1'000'000'000'000'000'000};
// Stands for the age of a state that the store has never confirmed.
constexpr Microseconds kNeverConfirmed{-1};
// Agents' clocks count from the start of their machine.
constexpr MonoTime kMaxAgentClock{std::chrono::hours(1'000'000)};

kj::StringPtr Text(const std::string& text) {
  return {text.c_str(), text.size()};
}

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

int64_t ToWire(MonoTime time) {
  return time.time_since_epoch().count();
}

MonoTime ReadAgentClock(int64_t time_us) {
  const MonoTime clock{Microseconds(time_us)};
  KJ_REQUIRE(clock >= MonoTime() && clock <= kMaxAgentClock,
             "agent clock out of range");
  return clock;
}

Microseconds ReadDuration(int64_t time_us, Microseconds limit) {
  const Microseconds time(time_us);
  KJ_REQUIRE(time >= Microseconds(0) && time <= limit, "time out of range");
  return time;
}

int64_t ReadResource(int64_t amount) {
  KJ_REQUIRE(amount >= -kMaxResource && amount <= kMaxResource,
             "resource out of range");
  return amount;
}

double ReadSlowness(double slowness) {
  // Written so that it also fails for what is not a number.
  KJ_REQUIRE(slowness > 0.0 && slowness <= kMaxSlowness,
             "slowness out of range");
  return slowness;
}

MonoTime ReadDeadline(int64_t time_left_us, MonoTime now) {
  return now +
         std::clamp(Microseconds(time_left_us), -kMaxTimeLeft, kMaxTimeLeft);
}

void Write(link_wire::Run::Builder wire, const RunKey& run) {
  wire.setJob(Text(run.m_task.m_job));
  wire.setStep(run.m_task.m_step);
  wire.setIndex(run.m_task.m_index);
  wire.setNumber(run.m_number);
}

RunKey Read(link_wire::Run::Reader wire) {
  return {{ToString(wire.getJob()), wire.getStep(), wire.getIndex()},
          wire.getNumber()};
}

void Write(link_wire::Resources::Builder wire, const Resources& resources) {
  wire.setCpuMillis(resources.m_cpu_millis);
  wire.setMemoryMb(resources.m_memory_mb);
  wire.setGpus(resources.m_gpus);
}

Resources Read(link_wire::Resources::Reader wire) {
  return {ReadResource(wire.getCpuMillis()), ReadResource(wire.getMemoryMb()),
          ReadResource(wire.getGpus())};
}

// Encodes one message, with an overload for each message type.
class MessageWriter {
 public:
  MessageWriter(link_wire::Message::Builder wire, MonoTime now)
      : m_wire(wire), m_now(now) {}

  void operator()(const Hello& hello) {
    auto wire = m_wire.initHello();
    wire.setEntry(Text(hello.m_entry.m_name));
    wire.setIncarnation(hello.m_entry.m_incarnation);
    wire.setVersion(hello.m_version);
  }

  void operator()(const Welcome& welcome) {
    auto wire = m_wire.initWelcome();
    wire.setAgent(Text(welcome.m_agent.m_name));
    wire.setIncarnation(welcome.m_agent.m_incarnation);
    wire.setVersion(welcome.m_version);
  }

  void operator()(const EntryHeartbeat& heartbeat) {
    auto wire = m_wire.initClaim();
    wire.setAgentClockUs(ToWire(heartbeat.m_agent_clock));
    wire.setStatusIntervalUs(heartbeat.m_status_interval.count());
  }

  void operator()(const StartRun& start) {
    auto wire = m_wire.initStartRun();
    Write(wire.initRun(), start.m_run);
    wire.setSequence(start.m_sequence);
    wire.setService(Text(start.m_service));
    wire.setPayload(Text(start.m_payload.str()));
    Write(wire.initDemand(), start.m_demand);
    wire.setExpectedUs(start.m_expected.count());
    wire.setUrgency(start.m_queue_priority);
    wire.setAbandonInUs((start.m_abandon_at - m_now).count());
    wire.setQueueForUs((start.m_queue_until - m_now).count());
    wire.setAgentClockUs(ToWire(start.m_agent_clock));
    wire.setOperatorRevision(start.m_decided_on.m_revision);
    wire.setOperatorStateAgeUs(
        start.m_decided_on.m_age.value_or(kNeverConfirmed).count());
  }

  void operator()(const StopRun& stop) {
    Write(m_wire.initStopRun().initRun(), stop.m_run);
  }

  void operator()(const RunnerStatus& status) {
    auto wire = m_wire.initRunnerStatus();
    wire.setAgentClockUs(ToWire(status.m_agent_clock));
    wire.setSequence(status.m_sequence);
    wire.setIsAccepting(status.m_is_accepting);
    wire.setService(Text(status.m_service));
    wire.setZone(Text(status.m_zone));
    auto labels = wire.initLabels(status.m_labels.size());
    for (size_t i = 0; i < status.m_labels.size(); ++i) {
      labels.set(i, Text(status.m_labels[i]));
    }
    Write(wire.initCapacity(), status.m_capacity);
    Write(wire.initFree(), status.m_free);
    wire.setSlowness(status.m_slowness);
    wire.setRunnerBornMs(status.m_runner_start_time_ms);
  }

  void operator()(const RunReport& report) {
    auto wire = m_wire.initRunReport();
    Write(wire.initRun(), report.m_run);
    wire.setOutcome(static_cast<uint8_t>(report.m_outcome));
    wire.setHasRun(report.m_has_run);
    wire.setRunTimeUs(report.m_run_time.count());
  }

  void operator()(const RelayRead& read) {
    auto wire = m_wire.initRelayRead();
    wire.setId(read.m_id);
    wire.setRequest(Text(read.m_request));
    wire.setGiveUpInUs((read.m_give_up_at - m_now).count());
  }

  void operator()(const RelayAnswer& answer) {
    auto wire = m_wire.initRelayAnswer();
    wire.setId(answer.m_id);
    wire.setIsAnswered(answer.m_is_answered);
    wire.setStatus(answer.m_status);
    wire.setBody(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte*>(answer.m_body.data()),
        answer.m_body.size()));
  }

  void operator()(const OperatorState& state) {
    auto wire = m_wire.initOperatorState();
    wire.setRevision(state.m_revision);
    auto zones = wire.initClosedZones(
        static_cast<unsigned>(state.m_closed_zones.size()));
    unsigned i = 0;
    for (const std::string& zone : state.m_closed_zones) {
      zones.set(i++, Text(zone));
    }
  }

 private:
  link_wire::Message::Builder m_wire;
  MonoTime m_now;
};

// Returns a size that the encoded message seldom exceeds. Its short texts are
// names.
size_t EncodedSizeBound(const LinkMessage& message) {
  constexpr size_t kFixedBytes = 1024;
  if (const auto* start = std::get_if<StartRun>(&message)) {
    return kFixedBytes + start->m_payload.str().size();
  }
  if (const auto* answer = std::get_if<RelayAnswer>(&message)) {
    return kFixedBytes + answer->m_body.size();
  }
  return kFixedBytes;
}

StartRun ReadStartRun(link_wire::StartRun::Reader wire, MonoTime now) {
  StartRun start;
  start.m_run = Read(wire.getRun());
  start.m_sequence = wire.getSequence();
  start.m_service = ToString(wire.getService());
  start.m_payload = ToString(wire.getPayload());
  start.m_demand = Read(wire.getDemand());
  start.m_expected = ReadDuration(wire.getExpectedUs(), kMaxRunTime);
  start.m_queue_priority = wire.getUrgency();
  start.m_abandon_at = ReadDeadline(wire.getAbandonInUs(), now);
  start.m_queue_until = ReadDeadline(wire.getQueueForUs(), now);
  start.m_agent_clock = ReadAgentClock(wire.getAgentClockUs());
  start.m_decided_on.m_revision = wire.getOperatorRevision();
  const Microseconds age(wire.getOperatorStateAgeUs());
  if (age >= Microseconds(0)) {
    start.m_decided_on.m_age = std::min(age, kMaxRunTime);
  }
  return start;
}

RunnerStatus ReadRunnerStatus(link_wire::RunnerStatus::Reader wire) {
  RunnerStatus status;
  status.m_agent_clock = ReadAgentClock(wire.getAgentClockUs());
  status.m_sequence = wire.getSequence();
  status.m_is_accepting = wire.getIsAccepting();
  status.m_service = ToString(wire.getService());
  status.m_zone = ToString(wire.getZone());
  for (const auto label : wire.getLabels()) {
    status.m_labels.push_back(ToString(label));
  }
  status.m_capacity = Read(wire.getCapacity());
  status.m_free = Read(wire.getFree());
  status.m_slowness = ReadSlowness(wire.getSlowness());
  status.m_runner_start_time_ms = wire.getRunnerBornMs();
  return status;
}

RunReport ReadRunReport(link_wire::RunReport::Reader wire) {
  KJ_REQUIRE(wire.getOutcome() <= static_cast<uint8_t>(RunOutcome::kNotStarted),
             "unknown run outcome");
  return {Read(wire.getRun()), static_cast<RunOutcome>(wire.getOutcome()),
          wire.getHasRun(), ReadDuration(wire.getRunTimeUs(), kMaxRunTime)};
}

RelayAnswer ReadRelayAnswer(link_wire::RelayAnswer::Reader wire) {
  const auto body = wire.getBody();
  return {
      wire.getId(), wire.getIsAnswered(), wire.getStatus(),
      std::string(reinterpret_cast<const char*>(body.begin()), body.size())};
}

OperatorState ReadOperatorState(link_wire::OperatorState::Reader wire) {
  OperatorState state;
  state.m_revision = wire.getRevision();
  for (const auto zone : wire.getClosedZones()) {
    state.m_closed_zones.insert(ToString(zone));
  }
  return state;
}

// Returns nothing for a message of a type that only later versions know.
std::optional<LinkMessage> ReadMessage(link_wire::Message::Reader wire,
                                       MonoTime now) {
  switch (wire.which()) {
    case link_wire::Message::HELLO:
      return Hello{{ToString(wire.getHello().getEntry()),
                    wire.getHello().getIncarnation()},
                   wire.getHello().getVersion()};
    case link_wire::Message::WELCOME:
      return Welcome{{ToString(wire.getWelcome().getAgent()),
                      wire.getWelcome().getIncarnation()},
                     wire.getWelcome().getVersion()};
    case link_wire::Message::CLAIM:
      return EntryHeartbeat{
          ReadAgentClock(wire.getClaim().getAgentClockUs()),
          ReadDuration(wire.getClaim().getStatusIntervalUs(), kMaxTimeLeft)};
    case link_wire::Message::START_RUN:
      return ReadStartRun(wire.getStartRun(), now);
    case link_wire::Message::STOP_RUN:
      return StopRun{Read(wire.getStopRun().getRun())};
    case link_wire::Message::RUNNER_STATUS:
      return ReadRunnerStatus(wire.getRunnerStatus());
    case link_wire::Message::RUN_REPORT:
      return ReadRunReport(wire.getRunReport());
    case link_wire::Message::RELAY_READ:
      return RelayRead{wire.getRelayRead().getId(),
                       ToString(wire.getRelayRead().getRequest()),
                       ReadDeadline(wire.getRelayRead().getGiveUpInUs(), now)};
    case link_wire::Message::RELAY_ANSWER:
      return ReadRelayAnswer(wire.getRelayAnswer());
    case link_wire::Message::OPERATOR_STATE:
      return ReadOperatorState(wire.getOperatorState());
  }
  return std::nullopt;
}

void ReadFrame(std::string_view frame,
               MonoTime now,
               std::vector<LinkMessage>& messages) {
  // A frame may start at any byte offset; Cap'n Proto requires whole, aligned
  // words.
  std::vector<capnp::word> words(frame.size() / sizeof(capnp::word));
  std::memcpy(words.data(), frame.data(), words.size() * sizeof(capnp::word));
  // Pointers in a defective frame may share content, so that a few bytes decode
  // to far more memory than a process has.
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      kMaxReadsOfAWord * words.size() + kMinTraversalLimitWords;
  capnp::FlatArrayMessageReader reader(
      kj::ArrayPtr<const capnp::word>(words.data(), words.size()), options);
  const auto batch = reader.getRoot<link_wire::Batch>().getMessages();
  KJ_REQUIRE(batch.size() <= words.size(), "more messages than words");
  for (const auto wire : batch) {
    if (auto message = ReadMessage(wire, now)) {
      messages.push_back(std::move(*message));
    }
  }
}

}  // namespace

size_t CountForBatch(std::span<const LinkMessage> messages) {
  size_t bytes = 0;
  size_t count = 0;
  for (const LinkMessage& message : messages) {
    bytes += EncodedSizeBound(message);
    if (count > 0 && bytes > kMaxBatchBytes) {
      break;
    }
    ++count;
  }
  return count;
}

void EncodeBatch(std::span<const LinkMessage> messages,
                 MonoTime now,
                 std::string& output) {
  capnp::MallocMessageBuilder builder;
  auto list = builder.initRoot<link_wire::Batch>().initMessages(
      static_cast<unsigned>(messages.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    std::visit(MessageWriter(list[i], now), messages[i]);
  }
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  const auto length = static_cast<uint32_t>(bytes.size());
  for (size_t i = 0; i < kLengthPrefixBytes; ++i) {
    output.push_back(static_cast<char>((length >> (8 * i)) & 0xFF));
  }
  output.append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

std::optional<FrameError> DecodeBatches(std::string& input,
                                        MonoTime now,
                                        std::vector<LinkMessage>& messages) {
  size_t position = 0;
  std::optional<FrameError> error;
  while (input.size() - position >= kLengthPrefixBytes) {
    uint32_t length = 0;
    for (size_t i = 0; i < kLengthPrefixBytes; ++i) {
      length |=
          static_cast<uint32_t>(static_cast<unsigned char>(input[position + i]))
          << (8 * i);
    }
    if (length > kMaxFrameBytes) {
      error = FrameError::kTooLarge;
      break;
    }
    if (input.size() - position - kLengthPrefixBytes < length) {
      break;
    }
    const auto frame =
        std::string_view(input).substr(position + kLengthPrefixBytes, length);
    position += kLengthPrefixBytes + length;
    const auto failure =
        kj::runCatchingExceptions([&]() { ReadFrame(frame, now, messages); });
    if (failure != nullptr) {
      error = FrameError::kMalformed;
      break;
    }
  }
  input.erase(0, position);
  return error;
}

}  // namespace comfreyshift
