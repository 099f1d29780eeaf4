#include "entry/retirement_proof.h"

#include <gtest/gtest.h>

namespace comfreyshift {
namespace {

constexpr WallTime kNow{Milliseconds(1'000'000)};

ProcessEvidence Confirmed(uint32_t running) {
  ProcessEvidence evidence;
  evidence.m_state = WitnessState::kConfirmed;
  evidence.m_running = running;
  return evidence;
}

RetirementProof ProofOf(std::vector<ProcessEvidence> processes) {
  RetirementProof proof;
  proof.m_in_force = kNow - Milliseconds(1);
  proof.m_processes = std::move(processes);
  return proof;
}

// Guards against a proof that says "done" while a process may still run the
// retired client's tasks.
TEST(RetirementProofTest, DoneOnlyWhenEveryProcessConfirmedAndIsIdle) {
  EXPECT_EQ(Conclude(ProofOf({Confirmed(0), Confirmed(0)}), kNow),
            RetirementState::kDone);
  EXPECT_EQ(Conclude(ProofOf({Confirmed(0), Confirmed(1)}), kNow),
            RetirementState::kInProgress);
  ProcessEvidence pending;
  pending.m_state = WitnessState::kPending;
  EXPECT_EQ(Conclude(ProofOf({Confirmed(0), pending}), kNow),
            RetirementState::kInProgress);
}

// Guards against silence being taken for an end: a listed process that cannot
// be reached keeps the proof open for ever.
TEST(RetirementProofTest, UnreachableProcessMakesItNotYet) {
  ProcessEvidence unreachable;
  unreachable.m_state = WitnessState::kUnreachable;
  unreachable.m_fenced_at = kNow - std::chrono::hours(1);
  EXPECT_EQ(Conclude(ProofOf({Confirmed(0), unreachable}), kNow),
            RetirementState::kNotYet);
}

TEST(RetirementProofTest, DepartedProcessCountsFromTheEndOfItsFence) {
  ProcessEvidence fenced;
  fenced.m_state = WitnessState::kFenced;
  fenced.m_fenced_at = kNow + Milliseconds(1);
  EXPECT_EQ(Conclude(ProofOf({Confirmed(0), fenced}), kNow),
            RetirementState::kInProgress);
  fenced.m_fenced_at = kNow;
  EXPECT_EQ(Conclude(ProofOf({Confirmed(0), fenced}), kNow),
            RetirementState::kDone);
}

// Guards against a proof before the revision is in force: a process without
// contact may still act on the older one.
TEST(RetirementProofTest, NotDoneBeforeTheRevisionIsInForce) {
  RetirementProof proof = ProofOf({Confirmed(0)});
  proof.m_in_force = kNow + Milliseconds(1);
  EXPECT_EQ(Conclude(proof, kNow), RetirementState::kInProgress);
  proof.m_in_force.reset();
  EXPECT_EQ(Conclude(proof, kNow), RetirementState::kInProgress);
}

}  // namespace
}  // namespace comfreyshift
