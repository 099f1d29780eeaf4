#ifndef CORE_COUNTERS_H_
#define CORE_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace comfreyshift {

// The process's own counters and gauges. Not thread safe: each process runs one
// loop on one thread.
class Counters {
 public:
  // Adds `delta` to counter `name`, which must be a Prometheus metric name with
  // optional labels, such as `starts_total{zone="medina"}`.
  void Add(std::string_view name, uint64_t delta = 1);

  // Sets gauge `name`.
  void Set(std::string_view name, double value);

  uint64_t Value(std::string_view name) const;

  // Returns all counters and gauges in the Prometheus text format 0.0.4, with
  // the prefix `comfreyshift_` and sorted by name.
  std::string RenderPrometheus() const;

 private:
  std::map<std::string, uint64_t, std::less<>> m_counters;
  std::map<std::string, double, std::less<>> m_gauges;
};

}  // namespace comfreyshift

#endif  // CORE_COUNTERS_H_
