#include "logging/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <chrono>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

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

// Writes the message as it is: LogEvent has already made the whole line.
// log4cplus has no JSON layout of its own.
class JsonLineLayout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    output << event.getMessage() << '\n';
  }
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

void InitLogging(std::string_view process, LogLevel level) {
  ProcessName() = process;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<JsonLineLayout>());
  EventLogger().removeAllAppenders();
  EventLogger().setAdditivity(false);
  EventLogger().addAppender(appender);
  EventLogger().setLogLevel(ToLibraryLevel(level));
}

void LogEvent(LogLevel level,
              std::string_view component,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  const log4cplus::LogLevel library_level = ToLibraryLevel(level);
  if (!EventLogger().isEnabledFor(library_level)) {
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
  // Invalid UTF-8 from outside must not lose the line.
  EventLogger().log(library_level,
                    line.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}  // namespace comfreyshift
