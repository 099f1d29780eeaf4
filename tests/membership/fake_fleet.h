#ifndef TESTS_MEMBERSHIP_FAKE_FLEET_H_
#define TESTS_MEMBERSHIP_FAKE_FLEET_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "tests/membership/fake_network.h"

namespace comfreyshift {

// A FakeNetwork with a store. Entries read the store once a second, and
// processes fetch newer revisions from each other.
class FakeFleet : public FakeNetwork {
 public:
  // A revision of the configuration as the store holds it.
  struct Written {
    MonoTime m_at;
    Revision m_table_revision = 0;
    MemberList m_members;
    std::vector<WitnessSet> m_previous;
    MonoTime m_confirmed_at = MonoTime::max();
  };

  explicit FakeFleet(const FakeNetworkOptions& options) : FakeNetwork(options) {
    std::vector<Member> members;
    for (const Process& process : processes()) {
      members.push_back(process.m_member);
    }
    m_written.push_back(
        {now(), 1, std::make_shared<std::vector<Member>>(members), {}});
    for (size_t i = 0; i < members.size(); ++i) {
      Apply(i, 1);
      if (i < m_options.m_entries) {
        ReadStore(i);
      }
    }
  }

  // Lets process `i` write a new revision with a table of `members`, or with
  // the last table when null. Returns false when the process may not write: the
  // store is unreachable, the process is paused, has not applied the newest
  // revision or lacks a witness majority.
  bool Write(size_t i, const std::vector<Member>* members) {
    Process& process = processes()[i];
    if (!m_store_up || !process.m_can_fetch || process.m_paused_until > now() ||
        process.m_membership->applied_revision() != m_written.size() ||
        !HasWitnessMajority(i)) {
      return false;
    }
    Written written = m_written.back();
    written.m_at = now();
    written.m_confirmed_at = MonoTime::max();
    if (members != nullptr) {
      written.m_table_revision = m_written.size() + 1;
      written.m_members = std::make_shared<std::vector<Member>>(*members);
      written.m_previous = process.m_membership->UnretiredSets();
    }
    m_written.push_back(std::move(written));
    Apply(i, m_written.size());
    return true;
  }

  std::vector<Written>& written() { return m_written; }

  bool m_store_up = true;
  std::function<void(size_t, const MembershipEvent&)> m_on_event;

 protected:
  void OnEvent(size_t i, const MembershipEvent& event) override {
    if (const auto* newer = std::get_if<NewerRevisionSeen>(&event)) {
      // Simulates the fetch over RPC.
      RunLater(now() + Delay(), i, [this, i, r = newer->m_revision] {
        if (processes()[i].m_can_fetch) {
          Apply(i, r);
        }
      });
    } else if (const auto* confirmed = std::get_if<RevisionConfirmed>(&event)) {
      for (Revision r = 0; r < confirmed->m_revision; ++r) {
        m_written[r].m_confirmed_at =
            std::min(m_written[r].m_confirmed_at, now());
      }
    }
    if (m_on_event) {
      m_on_event(i, event);
    }
  }

 private:
  void Apply(size_t i, Revision revision) {
    Membership& membership = *processes()[i].m_membership;
    const Written& written = m_written[revision - 1];
    membership.SetMembers(LocalAt(i, now()), written.m_table_revision,
                          written.m_members, written.m_previous);
    membership.SetAppliedRevision(LocalAt(i, now()), revision);
  }

  // Reads the store's head now and once a second from then on.
  void ReadStore(size_t i) {
    RunLater(now() + std::chrono::seconds(1), i, [this, i] { ReadStore(i); });
    const Process& process = processes()[i];
    if (!m_store_up || !process.m_can_fetch) {
      return;
    }
    RunLater(now() + Delay(), i,
             [this, i, head = m_written.size(), sent = LocalAt(i, now()),
              reader = process.m_membership.get()] {
               if (processes()[i].m_membership.get() == reader) {
                 reader->OnStoreRead(head, sent);
                 Apply(i, std::max(head, reader->applied_revision()));
               }
             });
  }

  std::vector<Written> m_written;
};

}  // namespace comfreyshift

#endif  // TESTS_MEMBERSHIP_FAKE_FLEET_H_
