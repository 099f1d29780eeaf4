#ifndef LOGGING_LOG_H_
#define LOGGING_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace comfreyshift {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

// Reads "debug", "info", "warning" or "error".
std::optional<LogLevel> ParseLogLevel(std::string_view text);

struct LogField {
  std::string_view m_name;
  std::variant<std::string, int64_t, uint64_t, double, bool> m_value;
};

enum class LogOutput : uint8_t { kStandardError, kStandardOutput };

// Sends all events of at least `level` to `output`, one JSON object a line with
// time (RFC 3339, UTC, milliseconds), level, process, component, event and the
// event's own fields. Never blocks: lines that a full pipe cannot take are lost
// and counted. Too many lines of one event are left out; the next one says how
// many in `suppressed`.
void InitLogging(std::string_view process,
                 LogLevel level,
                 LogOutput output = LogOutput::kStandardError);

// Lines lost on a full pipe, and lines left out as too many, since the start.
uint64_t DroppedLogLines();
uint64_t SuppressedLogLines();

// Logs one event. `component` and `event` are fixed snake_case names, so that
// programs can select by them; everything that varies goes into fields.
void LogEvent(LogLevel level,
              std::string_view component,
              std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace comfreyshift

#endif  // LOGGING_LOG_H_
