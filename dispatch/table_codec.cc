#include <algorithm>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "dispatch/partition_table.h"
#include "json/json.h"

namespace comfreyshift {

namespace {

using Json = nlohmann::json;

constexpr int kFormatVersion = 1;
constexpr size_t kMaxPartitions = 1 << 20;

// Stores each distinct value once, so that partitions refer to strings and
// times by index.
template <class T>
class Interner {
 public:
  size_t Add(const T& value) {
    const auto [found, inserted] = m_index.try_emplace(value, m_values.size());
    if (inserted) {
      m_values.push_back(value);
    }
    return found->second;
  }
  const std::vector<T>& values() const { return m_values; }

 private:
  std::map<T, size_t> m_index;
  std::vector<T> m_values;
};

Json EncodeMember(const Member& member) {
  return Json::array({member.m_id.m_name, member.m_id.m_incarnation,
                      member.m_role == MemberRole::kAgent ? 1 : 0,
                      member.m_datagram_address.ToString(),
                      member.m_rpc_address.ToString(), member.m_zone,
                      member.m_rack, member.m_worker, member.m_target});
}

// Thrown and caught inside the decoder only, like the exceptions of the JSON
// library.
struct MalformedTable {
  std::string m_message;
};

void Require(bool condition, const std::string& message) {
  if (!condition) {
    throw MalformedTable{message};
  }
}

Address DecodeAddress(const Json& json) {
  const auto text = json.get<std::string>();
  const auto address = Address::Parse(text);
  // An unset address is encoded as an empty host and port 0.
  Require(address.has_value() || text == Address().ToString(),
          "address \"" + text + "\" is not an IP number and a port");
  return address.value_or(Address());
}

Member DecodeMember(const Json& json) {
  Require(json.is_array() && json.size() == 9, "a member needs 9 fields");
  Member member;
  member.m_id = {json[0].get<std::string>(), json[1].get<uint64_t>()};
  const int role = json[2].get<int>();
  Require(role == 0 || role == 1, "a member's role must be 0 or 1");
  member.m_role = role == 1 ? MemberRole::kAgent : MemberRole::kEntry;
  member.m_datagram_address = DecodeAddress(json[3]);
  member.m_rpc_address = DecodeAddress(json[4]);
  member.m_zone = json[5].get<std::string>();
  member.m_rack = json[6].get<std::string>();
  member.m_worker = json[7].get<std::string>();
  member.m_target = json[8].get<std::string>();
  return member;
}

WallTime DecodeTime(const Json& json) {
  return WallTime(Milliseconds(json.get<int64_t>()));
}

template <class T>
const T& ElementAt(const std::vector<T>& values, const Json& index) {
  const auto i = index.get<uint64_t>();
  Require(i < values.size(), "an index is out of range");
  return values[i];
}

void DecodeMembers(const Json& json, PartitionTable& table) {
  std::set<std::string> names;
  for (const Json& item : json.at("members")) {
    table.m_members.push_back(DecodeMember(item));
    const Member& member = table.m_members.back();
    Require(names.insert(member.m_id.m_name).second,
            "member \"" + member.m_id.m_name + "\" is listed twice");
  }
  Require(std::is_sorted(table.m_members.begin(), table.m_members.end(),
                         [](const Member& left, const Member& right) {
                           return left.m_id < right.m_id;
                         }),
          "the members are not sorted");
}

void DecodePartitions(const Json& json, PartitionTable& table) {
  std::vector<WallTime> times;
  for (const Json& item : json.at("times")) {
    times.push_back(DecodeTime(item));
  }
  const auto racks = json.at("racks").get<std::vector<std::string>>();
  Require(json.at("partitions").size() <= kMaxPartitions,
          "there are too many partitions");
  for (const Json& item : json.at("partitions")) {
    Require(item.is_array() && item.size() == 8, "a partition needs 8 fields");
    Partition partition;
    if (item[0].get<int64_t>() >= 0) {
      const Member& owner = ElementAt(table.m_members, item[0]);
      Require(owner.m_role == MemberRole::kAgent,
              "partition owner \"" + owner.m_id.m_name + "\" is not an agent");
      partition.m_owner = owner.m_id;
    }
    partition.m_epoch = item[1].get<uint64_t>();
    Require(!partition.m_owner || partition.m_epoch > 0,
            "a partition with an owner has epoch 0");
    partition.m_rack_avoided_since = ElementAt(times, item[2]);
    partition.m_unknown_before = ElementAt(times, item[3]);
    partition.m_previous_rack = ElementAt(racks, item[4]);
    partition.m_previous_rack_avoided_since = ElementAt(times, item[5]);
    partition.m_moved_from_live_owner = item[6].get<int>() != 0;
    partition.m_moved_at = ElementAt(times, item[7]);
    table.m_partitions.push_back(std::move(partition));
  }
}

void DecodeDeparted(const Json& json, PartitionTable& table) {
  for (const Json& item : json.at("departed")) {
    Require(item.is_array() && item.size() == 5,
            "a departed member needs 5 fields");
    DepartedMember departed;
    departed.m_id = {item[0].get<std::string>(), item[1].get<uint64_t>()};
    departed.m_rack = item[2].get<std::string>();
    departed.m_departed_at = DecodeTime(item[3]);
    departed.m_clean = item[4].get<bool>();
    Require(table.Find(departed.m_id) == nullptr,
            "departed member \"" + departed.m_id.m_name + "\" is listed");
    table.m_departed.push_back(std::move(departed));
  }
}

void DecodeEarlierWitnesses(const Json& json, PartitionTable& table) {
  for (const Json& item : json.at("earlier_witnesses")) {
    Require(item.is_array() && item.size() == 2 && item[1].is_array(),
            "a witness set needs a revision and a list of members");
    WitnessSet set;
    set.m_table_revision = item[0].get<uint64_t>();
    for (const Json& member : item[1]) {
      Require(member.is_array() && member.size() == 2,
              "a witness needs a name and an incarnation");
      set.m_members.push_back(
          {member[0].get<std::string>(), member[1].get<uint64_t>()});
    }
    table.m_earlier_witnesses.push_back(std::move(set));
  }
}

PartitionTable DecodeChecked(std::string_view text) {
  const auto parsed = ParseJsonObject(text);
  Require(parsed.has_value(), "the table is not a JSON object");
  const Json& json = *parsed;
  Require(json.at("version").get<int>() == kFormatVersion,
          "the table's version is not known");
  PartitionTable table;
  DecodeMembers(json, table);
  DecodePartitions(json, table);
  DecodeDeparted(json, table);
  DecodeEarlierWitnesses(json, table);
  return table;
}

}  // namespace

std::string EncodeTable(const PartitionTable& table) {
  Json json;
  json["version"] = kFormatVersion;
  Json& members = json["members"] = Json::array();
  std::map<ProcessId, size_t> positions;
  for (const Member& member : table.m_members) {
    positions[member.m_id] = members.size();
    members.push_back(EncodeMember(member));
  }
  Interner<int64_t> times;
  Interner<std::string> racks;
  const auto time = [&](WallTime value) {
    return times.Add(value.time_since_epoch().count());
  };
  Json& partitions = json["partitions"] = Json::array();
  for (const Partition& item : table.m_partitions) {
    const int64_t owner =
        item.m_owner ? static_cast<int64_t>(positions.at(*item.m_owner)) : -1;
    partitions.push_back(Json::array(
        {owner, item.m_epoch, time(item.m_rack_avoided_since),
         time(item.m_unknown_before), racks.Add(item.m_previous_rack),
         time(item.m_previous_rack_avoided_since),
         item.m_moved_from_live_owner ? 1 : 0, time(item.m_moved_at)}));
  }
  json["times"] = times.values();
  json["racks"] = racks.values();
  Json& departed = json["departed"] = Json::array();
  for (const DepartedMember& item : table.m_departed) {
    departed.push_back(Json::array(
        {item.m_id.m_name, item.m_id.m_incarnation, item.m_rack,
         item.m_departed_at.time_since_epoch().count(), item.m_clean}));
  }
  Json& earlier = json["earlier_witnesses"] = Json::array();
  for (const WitnessSet& set : table.m_earlier_witnesses) {
    Json set_members = Json::array();
    for (const ProcessId& id : set.m_members) {
      set_members.push_back(Json::array({id.m_name, id.m_incarnation}));
    }
    earlier.push_back(Json::array({set.m_table_revision, set_members}));
  }
  return json.dump();
}

Result<PartitionTable, TableError> DecodeTable(std::string_view text) {
  try {
    return DecodeChecked(text);
  } catch (const MalformedTable& error) {
    return TableError{error.m_message};
  } catch (const Json::exception& error) {
    return TableError{error.what()};
  }
}

}  // namespace comfreyshift
