#ifndef TESTS_INVENTORY_GENERATORS_H_
#define TESTS_INVENTORY_GENERATORS_H_

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "inventory/inventory.h"

namespace comfreyshift {

inline rc::Gen<std::string> GenName() {
  return rc::gen::element<std::string>("a", "b-1", "c_2", "d.3", "e");
}

inline rc::Gen<std::string> GenHash() {
  return rc::gen::container<std::string>(
      64, rc::gen::element('0', '1', '9', 'a', 'f'));
}

inline rc::Gen<Lifecycle> GenStage() {
  return rc::gen::element(Lifecycle::kActive, Lifecycle::kLeaving,
                          Lifecycle::kRetired);
}

// Adds targets and rules that refer only to what is there.
inline void AddReferences(Inventory& inventory) {
  for (const auto& [zone, unused] : inventory.m_zones) {
    Target target{zone, *GenStage()};
    target.m_slots = *rc::gen::inRange<uint32_t>(1, 100);
    target.m_accelerators = *rc::gen::inRange<uint32_t>(0, 9);
    target.m_memory_mb = *rc::gen::inRange<uint64_t>(0, 200'000);
    inventory.m_targets["on-" + zone] = target;
  }
  for (const auto& [client, unused] : inventory.m_clients) {
    Rule rule{client, {}};
    for (const auto& [target, value] : inventory.m_targets) {
      if (*rc::gen::arbitrary<bool>()) {
        rule.m_targets.insert(target);
      }
    }
    if (rule.m_targets.empty()) {
      rule.m_targets = {"*"};
    }
    inventory.m_rules["for-" + client] = rule;
  }
}

// Makes a valid inventory; must be called inside a RapidCheck property.
inline Inventory MakeInventory() {
  Inventory inventory;
  for (const auto& name :
       *rc::gen::container<std::vector<std::string>>(GenName())) {
    inventory.m_zones[name] = {*GenName(), *rc::gen::arbitrary<bool>()};
  }
  for (const auto& name :
       *rc::gen::container<std::vector<std::string>>(GenName())) {
    inventory.m_clients[name] = {*GenStage(), *GenHash(),
                                 *rc::gen::inRange<uint32_t>(0, 1000),
                                 *rc::gen::inRange<uint32_t>(1, 10)};
    inventory.m_requests[name] = {*rc::gen::arbitrary<bool>()};
  }
  AddReferences(inventory);
  return inventory;
}

// Returns `text` with a few bytes changed, inserted or removed.
inline std::string Mutate(std::string text, const std::string& special) {
  const int count = *rc::gen::inRange(1, 6);
  for (int i = 0; i < count; ++i) {
    const size_t position = *rc::gen::inRange<size_t>(0, text.size() + 1);
    const char character = *rc::gen::oneOf(rc::gen::elementOf(special),
                                           rc::gen::arbitrary<char>());
    if (*rc::gen::arbitrary<bool>()) {
      text.insert(position, 1, character);
    } else {
      text.replace(position, *rc::gen::inRange<size_t>(0, 9), 1, character);
    }
  }
  return text;
}

}  // namespace comfreyshift

#endif  // TESTS_INVENTORY_GENERATORS_H_
