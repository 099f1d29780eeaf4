#ifndef CONFIG_ERROR_H_
#define CONFIG_ERROR_H_

#include <string>

namespace comfreyshift {

enum class ConfigErrorCode {
  // The changes end at a lower revision than the replica holds.
  kLowerRevision,
  // The changes begin after the replica's revision, so some are missing.
  kGap,
  // A key is not part of the configuration.
  kForeignKey,
  // Two values have the same key and mod revision, so they come from different
  // histories of the store.
  kDiverged,
  // A store answer or record does not have the expected form.
  kMalformed,
  // An edit cannot be written as it is.
  kInvalidEdit,
};

// Error type of the config library.
struct ConfigError {
  ConfigErrorCode m_code = ConfigErrorCode::kMalformed;
  std::string m_message{};
};

}  // namespace comfreyshift

#endif  // CONFIG_ERROR_H_
