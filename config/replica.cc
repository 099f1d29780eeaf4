#include "config/replica.h"

#include <algorithm>
#include <set>

#include "config/keys.h"

namespace comfreyshift {

namespace {

ConfigError Error(ConfigErrorCode code, std::string message) {
  return {code, std::move(message)};
}

ConfigError NotAReply() {
  return Error(ConfigErrorCode::kMalformed,
               "the store's answer is not one of a configuration read");
}

void AddEntries(const RangeReply& range, ConfigChanges& changes) {
  for (const KeyValue& kv : range.m_key_values) {
    changes.m_entries.push_back({kv.m_key, kv.m_value, kv.m_mod_revision});
  }
}

}  // namespace

RangeRequest HeadRequest() {
  return {.m_key = std::string(kHeadKey)};
}

Revision HeadRevision(const RangeReply& reply) {
  return reply.m_key_values.empty() ? 0 : reply.m_key_values[0].m_mod_revision;
}

TxnRequest ConfigReadRequest(Revision since) {
  TxnRequest request;
  request.m_success.emplace_back(HeadRequest());
  request.m_success.emplace_back(
      RangeRequest{.m_key = std::string(kInventoryPrefix),
                   .m_range_end = PrefixEnd(kInventoryPrefix),
                   .m_min_mod_revision = since + 1});
  request.m_success.emplace_back(RangeRequest{.m_key = std::string(kTableKey),
                                              .m_min_mod_revision = since + 1});
  return request;
}

Result<ConfigChanges, ConfigError> ReadConfigReply(Revision since,
                                                   const TxnReply& reply) {
  constexpr size_t kRanges = 3;
  if (reply.m_replies.size() != kRanges) {
    return NotAReply();
  }
  std::vector<const RangeReply*> ranges;
  for (const TxnOperationReply& operation : reply.m_replies) {
    ranges.push_back(std::get_if<RangeReply>(&operation));
    if (ranges.back() == nullptr || ranges.back()->m_more) {
      return NotAReply();
    }
  }
  ConfigChanges changes;
  changes.m_since = since;
  changes.m_revision = HeadRevision(*ranges[0]);
  AddEntries(*ranges[1], changes);
  AddEntries(*ranges[2], changes);
  return changes;
}

Result<void, ConfigError> ConfigReplica::CheckEntry(const ConfigEntry& entry,
                                                    Revision limit) const {
  if (!IsConfigKey(entry.m_key)) {
    return Error(ConfigErrorCode::kForeignKey,
                 "key " + entry.m_key + " is not part of the configuration");
  }
  if (entry.m_mod_revision == 0 || entry.m_mod_revision > limit) {
    return Error(ConfigErrorCode::kMalformed,
                 "key " + entry.m_key + " has mod revision " +
                     std::to_string(entry.m_mod_revision) +
                     " outside the changes up to " + std::to_string(limit));
  }
  auto held = m_entries.find(entry.m_key);
  if (held != m_entries.end() &&
      held->second.m_mod_revision == entry.m_mod_revision &&
      held->second.m_value != entry.m_value) {
    return Error(ConfigErrorCode::kDiverged,
                 "key " + entry.m_key + " has two values at mod revision " +
                     std::to_string(entry.m_mod_revision));
  }
  return outcome::success();
}

Result<void, ConfigError> ConfigReplica::Check(
    const ConfigChanges& changes) const {
  if (changes.m_revision < m_revision) {
    return Error(ConfigErrorCode::kLowerRevision,
                 "revision " + std::to_string(changes.m_revision) +
                     " is below the applied revision " +
                     std::to_string(m_revision));
  }
  if (changes.m_since > m_revision) {
    return Error(ConfigErrorCode::kGap,
                 "changes since revision " + std::to_string(changes.m_since) +
                     " do not follow the applied revision " +
                     std::to_string(m_revision));
  }
  for (const ConfigEntry& entry : changes.m_entries) {
    BOOST_OUTCOME_TRYV(CheckEntry(entry, changes.m_revision));
  }
  return outcome::success();
}

Result<std::vector<std::string>, ConfigError> ConfigReplica::Apply(
    const ConfigChanges& changes) {
  BOOST_OUTCOME_TRYV(Check(changes));
  std::vector<std::string> changed;
  for (const ConfigEntry& entry : changes.m_entries) {
    Held& held = m_entries[entry.m_key];
    if (entry.m_mod_revision <= held.m_mod_revision) {
      continue;
    }
    held = {entry.m_value, entry.m_mod_revision};
    changed.push_back(entry.m_key);
  }
  if (changes.m_since == 0) {
    BuryMissing(changes, changed);
  }
  m_revision = changes.m_revision;
  return changed;
}

void ConfigReplica::BuryMissing(const ConfigChanges& snapshot,
                                std::vector<std::string>& changed) {
  std::set<std::string_view> present;
  for (const ConfigEntry& entry : snapshot.m_entries) {
    present.insert(entry.m_key);
  }
  for (auto& [key, held] : m_entries) {
    if (!present.contains(key) && !IsTombstone(held.m_value)) {
      held = {std::string(kTombstone), snapshot.m_revision};
      changed.push_back(key);
    }
  }
}

ConfigChanges ConfigReplica::ChangesSince(Revision since) const {
  ConfigChanges changes;
  changes.m_since = since;
  changes.m_revision = m_revision;
  for (const auto& [key, held] : m_entries) {
    if (held.m_mod_revision > since) {
      changes.m_entries.push_back({key, held.m_value, held.m_mod_revision});
    }
  }
  std::stable_sort(changes.m_entries.begin(), changes.m_entries.end(),
                   [](const ConfigEntry& a, const ConfigEntry& b) {
                     return a.m_mod_revision < b.m_mod_revision;
                   });
  return changes;
}

std::optional<std::string_view> ConfigReplica::Find(
    std::string_view key) const {
  auto found = m_entries.find(key);
  if (found == m_entries.end() || IsTombstone(found->second.m_value)) {
    return std::nullopt;
  }
  return found->second.m_value;
}

Revision ConfigReplica::ModRevision(std::string_view key) const {
  auto found = m_entries.find(key);
  return found == m_entries.end() ? 0 : found->second.m_mod_revision;
}

void ConfigReplica::ForEach(
    std::string_view prefix,
    const std::function<void(std::string_view, std::string_view)>& visit)
    const {
  for (auto it = m_entries.lower_bound(prefix);
       it != m_entries.end() && it->first.starts_with(prefix); ++it) {
    if (!IsTombstone(it->second.m_value)) {
      visit(it->first, it->second.m_value);
    }
  }
}

}  // namespace comfreyshift
