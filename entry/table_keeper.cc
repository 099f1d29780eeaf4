#include "entry/table_keeper.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "logging/logging.h"

namespace comfreyshift {

namespace {

// Changes that arrive within this time share one write, so that a zone that
// returns costs a few writes.
constexpr Milliseconds kBatchDelay{100};

// Each entry waits this much longer than the one before it in rank.
constexpr Milliseconds kRankDelay{1000};

// How soon a write that could not be made is tried again.
constexpr Milliseconds kRetryDelay{500};

constexpr Milliseconds kWriteTimeout{2000};

}  // namespace

TableKeeper::TableKeeper(TableKeeperConfig config,
                         std::shared_ptr<StoreClient> store,
                         std::shared_ptr<StoreSync> sync,
                         ProcessNode& node)
    : m_config(config),
      m_store(std::move(store)),
      m_sync(std::move(sync)),
      m_node(node) {
  m_joining.emplace(node.self().m_id.m_name, node.self());
  m_write_at = BootClock::now() + kBatchDelay;
}

void TableKeeper::OnMembershipEvent(MonoTime now,
                                    const MembershipEvent& event) {
  if (const auto* join = std::get_if<JoinRequested>(&event)) {
    m_joining.insert_or_assign(join->m_member.m_id.m_name, join->m_member);
    Schedule(now);
  } else if (const auto* dead = std::get_if<MemberDead>(&event)) {
    m_dead.insert(dead->m_id);
    Schedule(now);
  } else if (const auto* alive = std::get_if<MemberAlive>(&event)) {
    m_dead.erase(alive->m_id);
  }
}

void TableKeeper::OnLeaveRequest(MonoTime now, const ProcessId& id) {
  m_leaving.insert(id);
  Schedule(now);
}

void TableKeeper::Schedule(MonoTime now) {
  if (m_write_at == MonoTime::max()) {
    m_write_at = now + kBatchDelay + Rank() * kRankDelay;
  }
}

uint32_t TableKeeper::Rank() const {
  uint32_t rank = 0;
  const auto live = m_node.membership().LiveMembers();
  for (const Member& member : m_node.view().table()->m_members) {
    const bool is_live =
        std::find(live.begin(), live.end(), member.m_id) != live.end();
    if (member.m_role == MemberRole::kEntry && is_live &&
        member.m_id < m_node.self().m_id) {
      ++rank;
    }
  }
  return rank;
}

void TableKeeper::DropDone() {
  const PartitionTable& table = *m_node.view().table();
  std::erase_if(m_joining, [&](const auto& entry) {
    return table.Find(entry.second.m_id) != nullptr;
  });
  const auto is_gone = [&](const ProcessId& id) {
    return table.Find(id) == nullptr;
  };
  std::erase_if(m_dead, is_gone);
  std::erase_if(m_leaving, is_gone);
}

TableChange TableKeeper::PendingChange() const {
  TableChange change;
  change.m_dead.assign(m_dead.begin(), m_dead.end());
  change.m_leaving_cleanly.assign(m_leaving.begin(), m_leaving.end());
  for (const auto& [name, member] : m_joining) {
    change.m_joining.push_back(member);
    // A process that asks to join under a new incarnation has ended its old
    // one.
    for (const Member& listed : m_node.view().table()->m_members) {
      const bool is_old_run =
          listed.m_id.m_name == name && listed.m_id != member.m_id;
      if (is_old_run && !m_dead.contains(listed.m_id)) {
        change.m_dead.push_back(listed.m_id);
      }
    }
  }
  return change;
}

bool TableKeeper::SeesMajority(MonoTime now) const {
  const auto& members = m_node.view().table()->m_members;
  const bool has_agents = std::any_of(
      members.begin(), members.end(),
      [](const Member& member) { return member.m_role == MemberRole::kAgent; });
  return !has_agents || m_node.membership().HasWitnessMajority(now);
}

void TableKeeper::Tick(MonoTime now) {
  if (now < m_write_at || m_writing) {
    return;
  }
  m_write_at = MonoTime::max();
  DropDone();
  if (m_joining.empty() && m_dead.empty() && m_leaving.empty()) {
    return;
  }
  const bool has_table = m_node.view().table_revision() > 0;
  if (!m_sync->InContact(now) || !SeesMajority(now) ||
      (!has_table && !m_sync->StoreIsEmpty())) {
    m_write_at = now + kRetryDelay;
    return;
  }
  const PartitionTable base = has_table
                                  ? *m_node.view().table()
                                  : MakeEmptyTable(m_config.m_partition_count);
  PartitionTable table =
      ApplyChange(base, PendingChange(), WallNow(), m_config.m_retention);
  // A reader that knows only this table must also count the witnesses of those
  // that some process may still follow.
  table.m_earlier_witnesses = m_node.membership().UnretiredSets();
  Write(now, table);
}

MonoTime TableKeeper::NextDeadline() const {
  return m_writing ? MonoTime::max() : m_write_at;
}

void TableKeeper::Write(MonoTime now, const PartitionTable& table) {
  m_writing = true;
  TxnRequest request;
  request.m_compares.push_back(
      {std::string(kTableKey), CompareResult::kEqual,
       CompareModRevision{m_node.view().table_revision()}});
  request.m_success.push_back(
      PutRequest{std::string(kTableKey), EncodeTable(table)});
  request.m_success.push_back(
      PutRequest{std::string(kHeadKey), m_node.self().m_id.m_name});
  m_store->Txn(
      request, {now + kWriteTimeout},
      [self = shared_from_this()](Result<TxnReply, StoreError> result) {
        self->OnWritten(std::move(result));
      });
}

void TableKeeper::OnWritten(Result<TxnReply, StoreError> result) {
  m_writing = false;
  const MonoTime now = BootClock::now();
  // Whatever became of the write, the next read shows the table as it is, and
  // the next tick finds what is still to be changed.
  m_write_at = now + kRetryDelay;
  m_sync->ReadNow();
  if (!result) {
    LogEvent(LogLevel::kWarning, "table", "write_failed",
             {{"reason", result.error().m_message}});
  } else if (result.value().m_succeeded) {
    LogEvent(LogLevel::kInfo, "table", "written",
             {{"revision", result.value().m_revision}});
  }
}

}  // namespace comfreyshift
