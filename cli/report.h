#ifndef CLI_REPORT_H_
#define CLI_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace comfreyshift {

// Each of these makes text for people from an answer of docs/api.md. Fields
// that are missing or of another type are shown as "-".

std::string EditToText(const nlohmann::json& body);
std::string StatusToText(const nlohmann::json& body);
std::string AuditToText(const nlohmann::json& body);
std::string RetirementToText(const nlohmann::json& body);

// Returns unix milliseconds as "2026-12-04 11:00:00.123" in UTC.
std::string TimeToText(int64_t unix_ms);

}  // namespace comfreyshift

#endif  // CLI_REPORT_H_
