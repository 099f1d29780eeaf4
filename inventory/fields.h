#ifndef INVENTORY_FIELDS_H_
#define INVENTORY_FIELDS_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>

#include "inventory/model.h"

// Names each field of the records once. The INI and JSON forms are readers and
// writers over these lists, so that both accept the same values.

namespace comfreyshift {

// Limits that keep a faulty digit from taking a whole machine.
inline constexpr uint64_t kMaxSlots = 4096;
inline constexpr uint64_t kMaxConnections = 65536;
inline constexpr uint64_t kMaxAccelerators = 1024;
inline constexpr uint64_t kMaxMemoryMb = 1ULL << 30;
inline constexpr uint64_t kMaxStartsPerSecond = 10'000'000;
inline constexpr uint64_t kMaxWeight = 1'000'000;

template <class T, class Record>
concept RecordOf = std::same_as<std::remove_const_t<T>, Record>;

// A visitor has the members Name, Flag, Stage, Hash, Number and Names, each
// called with the field's name and a reference to it. Fields are optional
// unless `required` is true; hashes and lists of names are always required.
template <class V, RecordOf<AvailabilityZone> T>
void VisitFields(V& visitor, T& zone) {
  visitor.Name("region", zone.m_region);
  visitor.Flag("open", zone.m_open, /*required=*/false);
}

template <class V, RecordOf<Client> T>
void VisitFields(V& visitor, T& client) {
  visitor.Hash("token_sha256", client.m_token_sha256);
  visitor.Number("starts_per_second", client.m_starts_per_second, 0,
                 kMaxStartsPerSecond);
  visitor.Number("weight", client.m_weight, 1, kMaxWeight);
  visitor.Stage("lifecycle", client.m_lifecycle);
}

template <class V, RecordOf<Target> T>
void VisitFields(V& visitor, T& target) {
  visitor.Name("zone", target.m_zone);
  visitor.Number("slots", target.m_slots, 1, kMaxSlots);
  visitor.Number("connections", target.m_connections, 1, kMaxConnections);
  visitor.Number("accelerators", target.m_accelerators, 0, kMaxAccelerators);
  visitor.Number("memory_mb", target.m_memory_mb, 0, kMaxMemoryMb);
  visitor.Stage("lifecycle", target.m_lifecycle);
}

// Whether a kind of task may run twice has no safe default.
template <class V, RecordOf<Request> T>
void VisitFields(V& visitor, T& request) {
  visitor.Flag("idempotent", request.m_idempotent, /*required=*/true);
}

template <class V, RecordOf<Rule> T>
void VisitFields(V& visitor, T& rule) {
  visitor.Name("client", rule.m_client);
  visitor.Names("targets", rule.m_targets);
}

inline constexpr std::string_view kNameAccepted =
    "1 to 64 lower-case letters, digits, '-', '_' and '.'";
inline constexpr std::string_view kHashAccepted =
    "SHA-256 of the token, 64 lower-case hexadecimal digits";
inline constexpr std::string_view kStageAccepted = "active, leaving or retired";
inline constexpr std::string_view kNamesAccepted =
    "names of targets, or * alone for all of them";
inline constexpr std::string_view kFlagAccepted = "true or false";

// Returns "a whole number from LOW to HIGH".
std::string NumberAccepted(uint64_t low, uint64_t high);

bool IsHash(std::string_view text);
std::optional<Lifecycle> ParseStage(std::string_view text);
std::string_view StageName(Lifecycle stage);

// Whether a rule's list is not empty and holds either names or "*" alone.
bool IsTargetList(const std::set<std::string>& names);

}  // namespace comfreyshift

#endif  // INVENTORY_FIELDS_H_
