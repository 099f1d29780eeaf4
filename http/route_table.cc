#include "http/route_table.h"

#include <utility>

namespace comfreyshift {

namespace {

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const size_t slash = path.find('/');
    parts.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos) {
      return parts;
    }
    path.remove_prefix(slash + 1);
    if (path.empty()) {
      parts.emplace_back();
    }
  }
  return parts;
}

// Whether the path fits; fills `arguments` from the parts at `{}`.
bool Fits(const Route& route,
          const std::vector<std::string>& path,
          std::vector<std::string>& arguments) {
  arguments.clear();
  if (path.size() != route.m_pattern.size()) {
    return false;
  }
  for (size_t i = 0; i < path.size(); ++i) {
    if (route.m_pattern[i] == "{}" && !path[i].empty()) {
      arguments.push_back(path[i]);
    } else if (route.m_pattern[i] != path[i]) {
      return false;
    }
  }
  return true;
}

}  // namespace

void RouteTable::Add(std::string_view method,
                     std::string_view pattern,
                     Access access,
                     HttpHandler handler) {
  m_routes.push_back({std::string(method), SplitPath(pattern),
                      std::move(access), std::move(handler)});
}

RouteMatch RouteTable::Find(std::string_view method,
                            std::string_view path) const {
  RouteMatch match;
  if (m_routes.empty()) {
    return match;
  }
  const std::vector<std::string> parts = SplitPath(path);
  for (const Route& route : m_routes) {
    if (!Fits(route, parts, match.m_arguments)) {
      continue;
    }
    if (route.m_method == method) {
      match.m_route = &route;
      return match;
    }
    match.m_allowed += (match.m_allowed.empty() ? "" : ", ") + route.m_method;
  }
  return match;
}

}  // namespace comfreyshift
