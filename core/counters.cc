#include "core/counters.h"

#include <sstream>

namespace comfreyshift {

namespace {

std::string_view BaseName(std::string_view name) {
  return name.substr(0, name.find('{'));
}

template <class Map>
void RenderAll(const Map& values, std::string_view type, std::ostream& out) {
  std::string_view previous;
  for (const auto& [name, value] : values) {
    const std::string_view base = BaseName(name);
    if (base != previous) {
      out << "# TYPE comfreyshift_" << base << ' ' << type << '\n';
      previous = base;
    }
    out << "comfreyshift_" << name << ' ' << value << '\n';
  }
}

}  // namespace

void Counters::Add(std::string_view name, uint64_t delta) {
  const auto found = m_counters.find(name);
  if (found == m_counters.end()) {
    m_counters.emplace(name, delta);
    return;
  }
  found->second += delta;
}

void Counters::Set(std::string_view name, double value) {
  m_gauges.insert_or_assign(std::string(name), value);
}

uint64_t Counters::Value(std::string_view name) const {
  const auto found = m_counters.find(name);
  return found == m_counters.end() ? 0 : found->second;
}

std::string Counters::RenderPrometheus() const {
  std::ostringstream out;
  RenderAll(m_counters, "counter", out);
  RenderAll(m_gauges, "gauge", out);
  return out.str();
}

}  // namespace comfreyshift
