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

// Sends all events of at least `level` to standard error, one JSON object a
// line with time (RFC 3339, UTC, milliseconds), level, process, component,
// event and the event's own fields.
void InitLogging(std::string_view process, LogLevel level);

// Logs one event. `component` and `event` are fixed snake_case names, so that
// programs can select by them; everything that varies goes into fields.
void LogEvent(LogLevel level,
              std::string_view component,
              std::string_view event,
              std::initializer_list<LogField> fields = {});

}  // namespace comfreyshift

#endif  // LOGGING_LOG_H_
