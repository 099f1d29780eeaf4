#include "membership/datagram.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <type_traits>
#include <utility>

namespace comfreyshift {
namespace {

constexpr uint8_t kVersion = 1;
constexpr size_t kHeaderSize = 3 + 8 + 8;
constexpr size_t kReceiverSize = 8;
constexpr size_t kWitnessAgeBytes = (kMaxWitnesses + 1) / 2;
constexpr size_t kMaxTextSize = 120;

// Appends integers in little-endian order, and texts with a one-byte length.
class Writer {
 public:
  template <class T>
  void Put(T value) {
    for (size_t i = 0; i < sizeof(T); ++i) {
      m_bytes.push_back(static_cast<uint8_t>(value >> (8 * i)));
    }
  }

  void PutText(std::string_view text) {
    const std::string_view truncated = text.substr(0, kMaxTextSize);
    Put(static_cast<uint8_t>(truncated.size()));
    m_bytes.insert(m_bytes.end(), truncated.begin(), truncated.end());
  }

  std::vector<uint8_t>& bytes() { return m_bytes; }

 private:
  std::vector<uint8_t> m_bytes;
};

// Reads what Writer wrote. After the first failed read all reads return 0 or an
// empty text, and ok() is false.
class Reader {
 public:
  explicit Reader(std::span<const uint8_t> bytes) : m_bytes(bytes) {}

  template <class T>
  T Get() {
    if (m_bytes.size() < sizeof(T)) {
      Fail();
      return 0;
    }
    T value = 0;
    for (size_t i = 0; i < sizeof(T); ++i) {
      value |= static_cast<T>(static_cast<T>(m_bytes[i]) << (8 * i));
    }
    m_bytes = m_bytes.subspan(sizeof(T));
    return value;
  }

  std::string GetText() {
    const auto size = Get<uint8_t>();
    if (size > kMaxTextSize || m_bytes.size() < size) {
      Fail();
      return {};
    }
    std::string text(m_bytes.begin(), m_bytes.begin() + size);
    m_bytes = m_bytes.subspan(size);
    return text;
  }

  void Fail() {
    m_ok = false;
    m_bytes = {};
  }

  bool ok() const { return m_ok; }
  bool at_end() const { return m_bytes.empty(); }

 private:
  std::span<const uint8_t> m_bytes;
  bool m_ok = true;
};

void Write(Writer& out, const Ping& ping) {
  out.Put(ping.m_revision);
}

void Write(Writer& out, const Ack& ack) {
  out.Put(ack.m_revision);
  out.Put(ack.m_proof_age);
  out.Put(ack.m_load.m_running);
  out.Put(ack.m_load.m_queued);
  out.Put(ack.m_load.m_slots);
  out.Put(ack.m_witness_hash);
  for (size_t i = 0; i < kWitnessAgeBytes; ++i) {
    const uint8_t low = ack.m_witness_ages[2 * i];
    const uint8_t high = 2 * i + 1 < kMaxWitnesses
                             ? ack.m_witness_ages[2 * i + 1]
                             : kUnknownWitnessAge;
    out.Put(static_cast<uint8_t>(low | (high << 4)));
  }
  out.Put(ack.m_confirmed);
}

void Write(Writer& out, const PingRequest& request) {
  out.Put(request.m_target);
}

void Write(Writer&, const RelayedAck&) {}

void Write(Writer& out, const Join& join) {
  const Member& member = join.m_member;
  out.PutText(member.m_id.m_name);
  out.Put(member.m_id.m_incarnation);
  out.Put(static_cast<uint8_t>(member.m_role));
  out.PutText(member.m_datagram_address.m_host);
  out.Put(member.m_datagram_address.m_port);
  out.PutText(member.m_rpc_address.m_host);
  out.Put(member.m_rpc_address.m_port);
  out.PutText(member.m_zone);
  out.PutText(member.m_rack);
  out.PutText(member.m_worker);
  out.PutText(member.m_target);
}

Ack ReadAck(Reader& in) {
  Ack ack;
  ack.m_revision = in.Get<uint64_t>();
  ack.m_proof_age = in.Get<uint16_t>();
  ack.m_load.m_running = in.Get<uint16_t>();
  ack.m_load.m_queued = in.Get<uint16_t>();
  ack.m_load.m_slots = in.Get<uint16_t>();
  ack.m_witness_hash = in.Get<uint64_t>();
  for (size_t i = 0; i < kWitnessAgeBytes; ++i) {
    const auto pair = in.Get<uint8_t>();
    ack.m_witness_ages[2 * i] = pair & 0xF;
    if (2 * i + 1 < kMaxWitnesses) {
      ack.m_witness_ages[2 * i + 1] = pair >> 4;
    }
  }
  ack.m_confirmed = in.Get<uint64_t>();
  return ack;
}

Join ReadJoin(Reader& in) {
  Member member;
  member.m_id.m_name = in.GetText();
  member.m_id.m_incarnation = in.Get<uint64_t>();
  const auto role = in.Get<uint8_t>();
  if (role > static_cast<uint8_t>(MemberRole::kAgent) ||
      member.m_id.m_name.empty()) {
    in.Fail();
  }
  member.m_role = static_cast<MemberRole>(role);
  member.m_datagram_address.m_host = in.GetText();
  member.m_datagram_address.m_port = in.Get<uint16_t>();
  member.m_rpc_address.m_host = in.GetText();
  member.m_rpc_address.m_port = in.Get<uint16_t>();
  member.m_zone = in.GetText();
  member.m_rack = in.GetText();
  member.m_worker = in.GetText();
  member.m_target = in.GetText();
  return {std::move(member)};
}

// Reads a body whose type is the given index in DatagramBody.
DatagramBody ReadBody(Reader& in, uint8_t type) {
  switch (type) {
    case 0:
      return Ping{in.Get<uint64_t>()};
    case 1:
      return ReadAck(in);
    case 2:
      return PingRequest{in.Get<uint64_t>()};
    case 3:
      return RelayedAck{};
    case 4:
      return ReadJoin(in);
    default:
      in.Fail();
      return RelayedAck{};
  }
}

MemberUpdate ReadUpdate(Reader& in) {
  MemberUpdate update;
  update.m_subject = in.Get<uint64_t>();
  const auto state = in.Get<uint8_t>();
  if (state > static_cast<uint8_t>(MemberState::kDead)) {
    in.Fail();
  }
  update.m_state = static_cast<MemberState>(state);
  update.m_suspicion_number = in.Get<uint16_t>();
  return update;
}

// Computes the HMAC tag over the receiver's key followed by the content.
MacTag ComputeTag(std::span<const uint8_t> content,
                  ProcessKey receiver,
                  std::string_view fleet_key) {
  std::array<uint8_t, kReceiverSize + kMaxDatagramSize> covered;
  for (size_t i = 0; i < kReceiverSize; ++i) {
    covered[i] = static_cast<uint8_t>(receiver >> (8 * i));
  }
  std::copy(content.begin(), content.end(), covered.begin() + kReceiverSize);
  return ComputeMac(fleet_key,
                    {covered.data(), kReceiverSize + content.size()});
}

std::string_view AsText(std::span<const uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

constexpr uint8_t kJoinType = 4;
static_assert(
    std::is_same_v<std::variant_alternative_t<kJoinType, DatagramBody>, Join>);

}  // namespace

ProcessKey MakeProcessKey(const ProcessId& id) {
  std::string text = id.m_name;
  for (size_t i = 0; i < sizeof(id.m_incarnation); ++i) {
    text.push_back(static_cast<char>(id.m_incarnation >> (8 * i)));
  }
  // 0 means "unknown receiver" and is never the key of a process.
  const uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

std::string_view ToString(DatagramError error) {
  switch (error) {
    case DatagramError::kOversized:
      return "oversized";
    case DatagramError::kMalformed:
      return "malformed";
    case DatagramError::kWrongVersion:
      return "wrong_version";
    case DatagramError::kWrongTag:
      return "wrong_tag";
  }
  return "unknown";
}

std::vector<uint8_t> EncodeDatagram(const DecodedDatagram& datagram,
                                    ProcessKey receiver,
                                    std::string_view fleet_key) {
  Writer out;
  const size_t updates = std::min(datagram.m_updates.size(), kMaxUpdates);
  out.Put(kVersion);
  out.Put(static_cast<uint8_t>(datagram.m_body.index()));
  out.Put(static_cast<uint8_t>(updates));
  out.Put(datagram.m_sender);
  out.Put(datagram.m_nonce);
  std::visit([&](const auto& body) { Write(out, body); }, datagram.m_body);
  for (size_t i = 0; i < updates; ++i) {
    out.Put(datagram.m_updates[i].m_subject);
    out.Put(static_cast<uint8_t>(datagram.m_updates[i].m_state));
    out.Put(datagram.m_updates[i].m_suspicion_number);
  }
  const MacTag tag = ComputeTag(out.bytes(), receiver, fleet_key);
  out.bytes().insert(out.bytes().end(), tag.begin(), tag.end());
  return std::move(out.bytes());
}

Result<DecodedDatagram, DatagramError> DecodeDatagram(
    std::span<const uint8_t> bytes,
    ProcessKey receiver,
    std::string_view fleet_key) {
  if (bytes.size() > kMaxDatagramSize) {
    return DatagramError::kOversized;
  }
  if (bytes.size() < kHeaderSize + kMacSize) {
    return DatagramError::kMalformed;
  }
  if (bytes[0] != kVersion) {
    return DatagramError::kWrongVersion;
  }
  const auto content = bytes.first(bytes.size() - kMacSize);
  const uint8_t type = bytes[1];
  const MacTag tag =
      ComputeTag(content, type == kJoinType ? 0 : receiver, fleet_key);
  if (!ConstantTimeEqual(AsText(tag), AsText(bytes.last(kMacSize)))) {
    return DatagramError::kWrongTag;
  }

  Reader in(content.subspan(2));
  DecodedDatagram datagram;
  const auto updates = in.Get<uint8_t>();
  datagram.m_sender = in.Get<uint64_t>();
  datagram.m_nonce = in.Get<uint64_t>();
  datagram.m_body = ReadBody(in, type);
  if (updates > kMaxUpdates) {
    return DatagramError::kMalformed;
  }
  for (size_t i = 0; i < updates; ++i) {
    datagram.m_updates.push_back(ReadUpdate(in));
  }
  if (!in.ok() || !in.at_end()) {
    return DatagramError::kMalformed;
  }
  return datagram;
}

}  // namespace comfreyshift
