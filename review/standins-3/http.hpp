#ifndef REVIEW_STANDINS_3_HTTP_HPP_
#define REVIEW_STANDINS_3_HTTP_HPP_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Endpoint {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

struct Request {
  std::string method;
  std::string path;  // without the query
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

// An empty answer closes the connection without one.
struct Response {
  int status = 200;
  std::string body = "{}";
};

using Handler = std::function<std::optional<Response>(const Request&)>;

// A blocking HTTP/1.1 server with one thread for each connection.
class Server {
 public:
  Server(const Endpoint& address, Handler handler);
  ~Server();
  // Ends the connections that are open now.
  void BreakConnections();

 private:
  void Accept();
  void Serve(int fd);

  Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
  std::mutex m_mutex;
  std::set<int> m_open;
};

struct Answer {
  int status = 0;  // 0: none
  std::string body;
};

// Connects within a second; -1 if that fails.
int ConnectTo(const Endpoint& address);
bool SendAll(int fd, const std::string& text);
std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::map<std::string, std::string>& headers,
                        const std::string& body);
// Waits at most `timeout_ms` for one answer on `fd`.
Answer ReadAnswer(int fd, int timeout_ms);
// One request on a connection of its own.
Answer Call(const Endpoint& address,
            const std::string& method,
            const std::string& path,
            const std::map<std::string, std::string>& headers,
            const std::string& body,
            int timeout_ms);

// Finds a port that is free on all addresses of 127.0.0.0/8.
uint16_t FreePort();

int64_t SteadyMs();
int64_t UnixMs();
void SleepMs(int64_t ms);

}  // namespace review

#endif  // REVIEW_STANDINS_3_HTTP_HPP_
