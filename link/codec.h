#ifndef LINK_CODEC_H_
#define LINK_CODEC_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "link/messages.h"

namespace comfreyshift {

// Larger frames are refused; the largest message is a whole configuration.
inline constexpr size_t kMaxFrameBytes = size_t{4} << 20;

// Appends one frame with all messages to `output`. Deadlines travel as the time
// left from `now`.
void EncodeBatch(std::span<const LinkMessage> messages,
                 MonoTime now,
                 std::string& output);

enum class FrameError : uint8_t { kTooLarge, kMalformed };

// Takes whole frames off the front of `input` and appends their messages to
// `messages`. Returns an error when the stream cannot be read further.
std::optional<FrameError> DecodeBatches(std::string& input,
                                        MonoTime now,
                                        std::vector<LinkMessage>& messages);

}  // namespace comfreyshift

#endif  // LINK_CODEC_H_
