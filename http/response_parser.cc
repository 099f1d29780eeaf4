#include "http/response_parser.h"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace comfreyshift {

namespace {

// Of the status line and the headers together.
constexpr size_t kMaxHeadBytes = size_t{64} * 1024;
// Of the size of a chunk with its extensions.
constexpr size_t kMaxLineBytes = 1024;
constexpr std::string_view kEndOfHead = "\r\n\r\n";
constexpr std::string_view kEndOfLine = "\r\n";
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), g_ascii_tolower);
  return lower;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// Returns nothing unless all of `text` is a number.
std::optional<uint64_t> ParseNumber(std::string_view text, int base) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

ResponseParser::State ResponseParser::Feed(std::string_view bytes) {
  m_input.append(bytes);
  while (m_state == State::kIncomplete && ReadPart()) {
  }
  return m_state;
}

ResponseParser::State ResponseParser::FeedEnd() {
  if (m_state == State::kIncomplete) {
    m_state =
        m_part == Part::kBodyUntilEnd ? State::kComplete : State::kMalformed;
  }
  m_is_kept = false;
  return m_state;
}

bool ResponseParser::Fail(State state) {
  m_state = state;
  m_is_kept = false;
  return false;
}

bool ResponseParser::ReadPart() {
  switch (m_part) {
    case Part::kHead:
      return ReadHead();
    case Part::kSizedBody:
    case Part::kChunk:
    case Part::kBodyUntilEnd:
      return ReadSizedBody();
    case Part::kChunkSize:
      return ReadChunkSize();
    case Part::kChunkEnd:
      return ReadChunkEnd();
    case Part::kTrailer:
      return ReadTrailer();
    case Part::kDone:
      m_state = State::kComplete;
      return false;
  }
  return false;
}

bool ResponseParser::ReadHead() {
  const size_t end = m_input.find(kEndOfHead);
  if (end == std::string::npos) {
    return m_input.size() > kMaxHeadBytes ? Fail(State::kMalformed) : false;
  }
  const std::string head = m_input.substr(0, end);
  m_input.erase(0, end + kEndOfHead.size());
  m_response = {};
  m_is_kept = true;
  if (!ParseHead(head)) {
    return Fail(State::kMalformed);
  }
  // 1xx: the final response follows.
  if (m_response.m_status / 100 == 1) {
    return true;
  }
  return ChooseBody();
}

bool ResponseParser::ParseHead(std::string_view head) {
  bool is_first = true;
  while (!head.empty() || is_first) {
    const size_t end = std::min(head.find(kEndOfLine), head.size());
    const std::string_view line = head.substr(0, end);
    const bool is_valid = is_first ? ParseStatusLine(line) : ParseHeader(line);
    if (!is_valid) {
      return false;
    }
    is_first = false;
    head.remove_prefix(std::min(end + kEndOfLine.size(), head.size()));
  }
  return true;
}

// Such as "HTTP/1.1 200 OK".
bool ResponseParser::ParseStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kStatusAt = kVersion.size() + 2;
  constexpr size_t kStatusDigits = 3;
  if (!line.starts_with(kVersion) || line.size() < kStatusAt + kStatusDigits ||
      line[kStatusAt - 1] != ' ') {
    return false;
  }
  m_is_kept = line[kVersion.size()] != '0';
  const auto status =
      ParseNumber(line.substr(kStatusAt, kStatusDigits), kDecimal);
  if (!status || *status < 100) {
    return false;
  }
  m_response.m_status = static_cast<int>(*status);
  return true;
}

bool ResponseParser::ParseHeader(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return false;
  }
  m_response.m_headers[Lower(line.substr(0, colon))] =
      Trim(line.substr(colon + 1));
  return true;
}

bool ResponseParser::ChooseBody() {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const HttpHeaders& headers = m_response.m_headers;
  if (const auto found = headers.find("connection"); found != headers.end()) {
    const std::string value = Lower(found->second);
    m_is_kept = value.find("close") == std::string::npos &&
                (m_is_kept || value.find("keep-alive") != std::string::npos);
  }
  if (m_response.m_status == kNoContent ||
      m_response.m_status == kNotModified) {
    m_part = Part::kDone;
    return true;
  }
  if (const auto coding = headers.find("transfer-encoding");
      coding != headers.end()) {
    if (Lower(coding->second) != "chunked") {
      return Fail(State::kMalformed);
    }
    m_part = Part::kChunkSize;
    return true;
  }
  if (const auto length = headers.find("content-length");
      length != headers.end()) {
    const auto size = ParseNumber(length->second, kDecimal);
    if (!size) {
      return Fail(State::kMalformed);
    }
    if (*size > m_max_body_bytes) {
      return Fail(State::kTooLarge);
    }
    m_left = *size;
    m_part = Part::kSizedBody;
    return true;
  }
  m_left = UINT64_MAX;
  m_is_kept = false;
  m_part = Part::kBodyUntilEnd;
  return true;
}

bool ResponseParser::ReadSizedBody() {
  const size_t size = std::min<uint64_t>(m_left, m_input.size());
  m_response.m_body.append(m_input, 0, size);
  m_input.erase(0, size);
  m_left -= size;
  if (m_response.m_body.size() > m_max_body_bytes) {
    return Fail(State::kTooLarge);
  }
  if (m_left > 0) {
    return false;
  }
  m_part = m_part == Part::kChunk ? Part::kChunkEnd : Part::kDone;
  return true;
}

std::optional<std::string> ResponseParser::TakeLine() {
  const size_t end = m_input.find(kEndOfLine);
  if (end == std::string::npos) {
    if (m_input.size() > kMaxLineBytes) {
      Fail(State::kMalformed);
    }
    return std::nullopt;
  }
  std::string line = m_input.substr(0, end);
  m_input.erase(0, end + kEndOfLine.size());
  return line;
}

bool ResponseParser::ReadChunkSize() {
  const auto line = TakeLine();
  if (!line) {
    return false;
  }
  const std::string_view text = *line;
  const auto size =
      ParseNumber(Trim(text.substr(0, text.find(';'))), kHexadecimal);
  if (!size) {
    return Fail(State::kMalformed);
  }
  if (*size > m_max_body_bytes) {
    return Fail(State::kTooLarge);
  }
  m_left = *size;
  m_part = *size > 0 ? Part::kChunk : Part::kTrailer;
  return true;
}

bool ResponseParser::ReadChunkEnd() {
  const auto line = TakeLine();
  if (!line) {
    return false;
  }
  m_part = Part::kChunkSize;
  return line->empty() ? true : Fail(State::kMalformed);
}

bool ResponseParser::ReadTrailer() {
  const auto line = TakeLine();
  if (!line) {
    return false;
  }
  if (line->empty()) {
    m_part = Part::kDone;
  }
  return true;
}

}  // namespace comfreyshift
