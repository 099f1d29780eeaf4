#ifndef ENTRY_RETIREMENT_PROOF_H_
#define ENTRY_RETIREMENT_PROOF_H_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/core.h"
#include "entry/entry_process.h"

namespace comfreyshift {

enum class RetirementState : uint8_t {
  kInProgress,  // Not every process has confirmed it yet.
  kNotYet,      // A process cannot be reached, so nothing is shown of it.
  kDone,        // Nothing of the subject runs, and nothing new can start.
};

std::string_view ToString(RetirementState state);

enum class WitnessState : uint8_t {
  kConfirmed,
  kPending,
  kUnreachable,
  kFenced
};

std::string_view ToString(WitnessState state);

// What one process shows of a retirement.
struct ProcessEvidence {
  ProcessId m_id;
  WitnessState m_state = WitnessState::kUnreachable;
  Revision m_revision = 0;
  WallTime m_seen_at;
  WallTime m_last_start;
  uint32_t m_running = 0;
  // For a process that has left the table: from when on its proof of freshness
  // had ended.
  WallTime m_fenced_at;
};

struct RetirementProof {
  std::string m_kind;
  std::string m_name;
  RetirementState m_state = RetirementState::kNotYet;
  // Revision of the record that retires the subject.
  Revision m_revision = 0;
  std::optional<WallTime> m_in_force;
  std::vector<ProcessEvidence> m_processes;
};

// Decides the state of a proof from its evidence. A process that is listed and
// cannot be reached makes it kNotYet, however much time has passed.
RetirementState Conclude(const RetirementProof& proof, WallTime now);

// Collects the evidence of all processes for one retirement. It keeps itself
// alive until every process has answered or failed to.
class RetirementQuery : public std::enable_shared_from_this<RetirementQuery> {
 public:
  using DoneFunction = std::function<void(RetirementProof)>;

  // `entry` must outlive the query. `lease` is F.
  static void Start(EntryProcess& entry,
                    std::string kind,
                    std::string name,
                    Revision revision,
                    Milliseconds lease,
                    DoneFunction done);

  RetirementQuery(EntryProcess& entry, Milliseconds lease, DoneFunction done);

 private:
  void AskAll();
  void OnStatus(size_t index, const Result<ProcessStatus, RpcError>& result);
  void AddDeparted(const PartitionTable& table);
  void Finish();

  EntryProcess& m_entry;
  Milliseconds m_lease;
  DoneFunction m_done;
  RetirementProof m_proof;
  size_t m_open = 0;
};

// Returns the proof as docs/api.md describes it.
nlohmann::json ToJson(const RetirementProof& proof);

}  // namespace comfreyshift

#endif  // ENTRY_RETIREMENT_PROOF_H_
