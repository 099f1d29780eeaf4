#ifndef TESTS_STANDINS_PLATFORM_DOCUMENTS_H_
#define TESTS_STANDINS_PLATFORM_DOCUMENTS_H_

#include <cstdint>
#include <string>

#include "core/core.h"

namespace comfreyshift {

// Texts that the users' platform, its operator and its clients write, for runs
// of the real program on loopback.

// A configuration with one queue: host h.example, prefix /p/, service
// "service".
std::string ConfigText(uint64_t version);

// A job of `tasks` equal tasks whose client waits for its answer. `task_text`
// is what the runners are told to do.
std::string JobText(uint64_t tasks,
                    Milliseconds estimated_run_time,
                    const std::string& task_text = "work");

// The settings files of the two roles; `link_port` carries the connections
// between them.
std::string EntrySettingsText(const std::string& name,
                              const Address& clients,
                              const Address& readiness,
                              uint16_t link_port,
                              const Address& store);
std::string AgentSettingsText(const std::string& name,
                              const Address& heartbeats,
                              uint16_t link_port,
                              const Address& runner,
                              const Address& store);

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_PLATFORM_DOCUMENTS_H_
