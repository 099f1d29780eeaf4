#ifndef ENTRY_ADMISSION_GATE_H_
#define ENTRY_ADMISSION_GATE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "entry/job_session.h"
#include "inventory/inventory.h"
#include "placement/placement.h"

namespace comfreyshift {

// Lets submissions through to their owners, by the clients' quotas and fair
// shares. Keeps those that have to wait.
class AdmissionGate {
 public:
  using RunFunction =
      std::function<void(Submission, JobSession::DoneFunction done)>;

  // `run` carries an admitted submission to its owner.
  AdmissionGate(std::string entry_name, RunFunction run);

  // Takes the clients, the slots of all active targets and the number of live
  // entries that share them.
  void Configure(MonoTime now, const Inventory& inventory, uint32_t entries);

  // `done` gets the job's answer, or AttemptRejected when it is not let in.
  void Submit(MonoTime now,
              Submission submission,
              JobSession::DoneFunction done);

  // Admits waiting submissions, and refuses those that waited too long.
  void Tick(MonoTime now);
  MonoTime NextDeadline(MonoTime now) const;

 private:
  struct Waiting {
    Submission m_submission;
    JobSession::DoneFunction m_done;
  };

  void Run(MonoTime now, Submission submission, JobSession::DoneFunction done);

  std::string m_entry_name;
  RunFunction m_run;
  // Nothing until the first inventory with targets is there; then submissions
  // pass unchecked, and their owners decide.
  std::unique_ptr<Admission> m_admission;
  uint32_t m_slots = 0;
  std::map<TicketId, Waiting> m_waiting;
};

}  // namespace comfreyshift

#endif  // ENTRY_ADMISSION_GATE_H_
