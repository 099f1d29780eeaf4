#ifndef HTTP_ROUTE_TABLE_H_
#define HTTP_ROUTE_TABLE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/request.h"
#include "http/token.h"

namespace comfreyshift {

using HttpHandler = std::function<void(const std::shared_ptr<HttpRequest>&)>;

struct Route {
  std::string m_method;
  std::vector<std::string> m_pattern;
  Access m_access;
  HttpHandler m_handler;
};

// What a RouteTable knows about a method and path.
struct RouteMatch {
  // Null if no route takes both.
  const Route* m_route = nullptr;
  // The parts of the path at `{}`.
  std::vector<std::string> m_arguments;
  // The methods of the routes that take the path, for the header Allow.
  std::string m_allowed;
};

// The routes of an HttpServer, in the order in which they are tried.
class RouteTable {
 public:
  // See HttpServer::AddRoute.
  void Add(std::string_view method,
           std::string_view pattern,
           Access access,
           HttpHandler handler);
  RouteMatch Find(std::string_view method, std::string_view path) const;

 private:
  std::vector<Route> m_routes;
};

}  // namespace comfreyshift

#endif  // HTTP_ROUTE_TABLE_H_
