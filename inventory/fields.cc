#include "inventory/fields.h"

#include <algorithm>

#include "inventory/ini.h"

namespace comfreyshift {

namespace {

constexpr size_t kHashLength = 64;

}  // namespace

std::string NumberAccepted(uint64_t low, uint64_t high) {
  return "a whole number from " + std::to_string(low) + " to " +
         std::to_string(high);
}

bool IsHash(std::string_view text) {
  const auto is_digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return text.size() == kHashLength && std::ranges::all_of(text, is_digit);
}

std::string_view StageName(Lifecycle stage) {
  switch (stage) {
    case Lifecycle::kActive:
      return "active";
    case Lifecycle::kLeaving:
      return "leaving";
    case Lifecycle::kRetired:
      return "retired";
  }
  return "active";
}

std::optional<Lifecycle> ParseStage(std::string_view text) {
  for (const Lifecycle stage :
       {Lifecycle::kActive, Lifecycle::kLeaving, Lifecycle::kRetired}) {
    if (StageName(stage) == text) {
      return stage;
    }
  }
  return std::nullopt;
}

bool IsTargetList(const std::set<std::string>& names) {
  if (names.size() == 1 && *names.begin() == "*") {
    return true;
  }
  return !names.empty() && std::ranges::all_of(names, IsInventoryName);
}

}  // namespace comfreyshift
