#include "logging/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <climits>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "logging/event_limiter.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::ordered_json;

std::string& ProcessName() {
  static std::string name;
  return name;
}

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

std::string TimeText() {
  const auto now = std::chrono::system_clock::now();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      now.time_since_epoch())
                      .count() %
                  1000;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + length, sizeof(text) - length, ".%03dZ",
                static_cast<int>(ms));
  return text;
}

uint64_t& DroppedLines() {
  static uint64_t lines = 0;
  return lines;
}

EventLimiter& Limiter() {
  static EventLimiter limiter;
  return limiter;
}

// Writes each message as it is: LogEvent has already made the whole line.
// log4cplus' own console appender blocks while the reader of a pipe stands
// still.
class LineAppender : public log4cplus::Appender {
 public:
  explicit LineAppender(int fd) : m_fd(fd) {}
  ~LineAppender() override { destructorImpl(); }
  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    const std::string line = event.getMessage() + '\n';
    // A pipe that is ready for writing takes PIPE_BUF bytes without blocking.
    pollfd ready{m_fd, POLLOUT, 0};
    const bool can_write = line.size() <= PIPE_BUF && poll(&ready, 1, 0) == 1 &&
                           (ready.revents & POLLOUT) != 0;
    if (!can_write || write(m_fd, line.data(), line.size()) !=
                          static_cast<ssize_t>(line.size())) {
      ++DroppedLines();
    }
  }

 private:
  int m_fd;
};

log4cplus::Logger& EventLogger() {
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance("comfreyshift");
  return logger;
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (LevelName(level) == text) {
      return level;
    }
  }
  return std::nullopt;
}

void InitLogging(std::string_view process, LogLevel level, LogOutput output) {
  ProcessName() = process;
  log4cplus::SharedAppenderPtr appender(new LineAppender(
      output == LogOutput::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO));
  EventLogger().removeAllAppenders();
  EventLogger().setAdditivity(false);
  EventLogger().addAppender(appender);
  EventLogger().setLogLevel(ToLibraryLevel(level));
}

uint64_t DroppedLogLines() {
  return DroppedLines();
}

uint64_t SuppressedLogLines() {
  return Limiter().suppressed();
}

void LogEvent(LogLevel level,
              std::string_view component,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  const log4cplus::LogLevel library_level = ToLibraryLevel(level);
  if (!EventLogger().isEnabledFor(library_level)) {
    return;
  }
  const auto suppressed = Limiter().Admit(event, BootClock::now());
  if (!suppressed) {
    return;
  }
  Json line;
  line["time"] = TimeText();
  line["level"] = LevelName(level);
  line["process"] = ProcessName();
  line["component"] = component;
  line["event"] = event;
  for (const LogField& field : fields) {
    std::visit(
        [&](const auto& value) { line[std::string(field.m_name)] = value; },
        field.m_value);
  }
  if (*suppressed > 0) {
    line["suppressed"] = *suppressed;
  }
  // Invalid UTF-8 from outside must not lose the line.
  EventLogger().log(library_level,
                    line.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}  // namespace comfreyshift
