#ifndef LINK_CODEC_H_
#define LINK_CODEC_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "link/messages.h"

namespace comfreyshift {

// Larger frames are rejected. The largest message carries a whole
// configuration.
inline constexpr size_t kMaxFrameBytes = size_t{4} << 20;

// Messages are put into one frame up to about this size.
inline constexpr size_t kMaxBatchBytes = size_t{1} << 20;

// Returns how many of the first messages go into one frame: all, or as many as
// keep it within kMaxBatchBytes; at least one.
size_t CountForBatch(std::span<const LinkMessage> messages);

// Appends one frame with all messages to `output`. Deadlines are encoded as the
// time remaining from `now`.
void EncodeBatch(std::span<const LinkMessage> messages,
                 MonoTime now,
                 std::string& output);

enum class FrameError : uint8_t { kTooLarge, kMalformed };

// Removes all complete frames from the front of `input` and appends their
// messages to `messages`. Returns an error if the stream is corrupt; the
// connection must then be closed.
std::optional<FrameError> DecodeBatches(std::string& input,
                                        MonoTime now,
                                        std::vector<LinkMessage>& messages);

}  // namespace comfreyshift

#endif  // LINK_CODEC_H_
