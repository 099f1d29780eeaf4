#ifndef SETTINGS_KEY_FILE_H_
#define SETTINGS_KEY_FILE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/settings.h"

namespace comfreyshift {

// Reads typed values from an INI text by GLib's GKeyFile and collects the
// faults. Every key asked for counts as known, so that the others can be
// reported.
class KeyFile {
 public:
  explicit KeyFile(std::string_view text);
  ~KeyFile();
  KeyFile(const KeyFile&) = delete;
  KeyFile& operator=(const KeyFile&) = delete;

  bool HasSection(const std::string& section) const;

  // Returns the value without surrounding blanks, or nothing when the key is
  // missing.
  std::optional<std::string> Find(const std::string& section,
                                  const std::string& key);

  // As Find, but a missing or empty value is a fault; `accepted` describes
  // valid ones.
  std::optional<std::string> Require(const std::string& section,
                                     const std::string& key,
                                     const std::string& accepted);

  // Reads a decimal number within [low, high]; `fallback` when missing or
  // faulty.
  uint64_t Number(const std::string& section,
                  const std::string& key,
                  uint64_t fallback,
                  uint64_t low,
                  uint64_t high);

  // Reads a name: 1 to 64 of the letters a-z, digits, '-', '_' and '.'.
  std::string Name(const std::string& section, const std::string& key);

  Address RequireAddress(const std::string& section, const std::string& key);

  // Splits a value at commas and drops the blanks around the parts.
  static std::vector<std::string> Split(const std::string& value);

  void AddProblem(SettingsProblem problem);

  // Accepts every key of a section without reading it.
  void Ignore(const std::string& section);

  // Reports sections and keys that nothing has asked for.
  void ReportUnknown();

  const std::vector<SettingsProblem>& problems() const { return m_problems; }

 private:
  struct Handle;

  void ReportDuplicates(std::string_view text);
  void ReportUnknownKeys(const std::string& section);
  std::string KnownSections() const;
  std::string KnownKeys(const std::string& section) const;

  std::unique_ptr<Handle> m_handle;
  std::set<std::pair<std::string, std::string>> m_known;
  std::vector<SettingsProblem> m_problems;
};

}  // namespace comfreyshift

#endif  // SETTINGS_KEY_FILE_H_
