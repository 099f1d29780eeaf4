#ifndef HTTP_RESPONSE_PARSER_H_
#define HTTP_RESPONSE_PARSER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/call.h"

namespace comfreyshift {

// Reads one HTTP/1.1 response (RFC 9112) from bytes as they arrive.
class ResponseParser {
 public:
  enum class State : uint8_t {
    kIncomplete,
    kComplete,
    // The bytes are no HTTP/1.1 response.
    kMalformed,
    kTooLarge,
  };

  // Bodies of more than `max_body_bytes` end as kTooLarge.
  explicit ResponseParser(uint64_t max_body_bytes)
      : m_max_body_bytes(max_body_bytes) {}

  // More bytes have arrived.
  State Feed(std::string_view bytes);
  // The server has closed its side.
  State FeedEnd();

  // Of a complete response.
  HttpResponse TakeResponse() { return std::move(m_response); }
  // Whether the connection can carry another request.
  bool can_be_kept() const { return m_is_kept && m_input.empty(); }

 private:
  enum class Part : uint8_t {
    kHead,
    kSizedBody,
    kBodyUntilEnd,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailer,
    kDone,
  };

  // Each reads one part and returns false if it needs more bytes or the
  // response is at fault.
  bool ReadPart();
  bool ReadHead();
  bool ReadSizedBody();
  bool ReadChunkSize();
  bool ReadChunkEnd();
  bool ReadTrailer();
  bool ParseHead(std::string_view head);
  bool ParseStatusLine(std::string_view line);
  bool ParseHeader(std::string_view line);
  bool ChooseBody();
  // Returns the next line without its end, or nothing if it is not there yet.
  std::optional<std::string> TakeLine();
  bool Fail(State state);

  uint64_t m_max_body_bytes;
  State m_state = State::kIncomplete;
  Part m_part = Part::kHead;
  std::string m_input;
  HttpResponse m_response;
  // Bytes left of the body or of the chunk.
  uint64_t m_left = 0;
  bool m_is_kept = true;
};

}  // namespace comfreyshift

#endif  // HTTP_RESPONSE_PARSER_H_
