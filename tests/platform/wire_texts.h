#ifndef TESTS_PLATFORM_WIRE_TEXTS_H_
#define TESTS_PLATFORM_WIRE_TEXTS_H_

#include <cstddef>
#include <string>

namespace comfreyshift::platform {

// The body of a valid heartbeat.
constexpr const char* kHeartbeat =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,)"
    R"("mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,)"
    R"("born":1789171779000,"seq":4})";

// Overflowed the default stack when every level took one call.
constexpr size_t kExcessiveDepth = 400'000;

// Returns `depth` nested arrays, as another writer could send them.
inline std::string NestedArrays(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

}  // namespace comfreyshift::platform

#endif  // TESTS_PLATFORM_WIRE_TEXTS_H_
