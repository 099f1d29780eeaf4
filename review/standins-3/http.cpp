#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>

namespace review {

namespace {

sockaddr_in ToSocketAddress(const Endpoint& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

// Reads more bytes into `input`; false at the end or after `timeout_ms`.
bool ReadMore(int fd, std::string& input, int64_t until_ms) {
  const int64_t left = std::max<int64_t>(0, until_ms - SteadyMs());
  pollfd poll_fd{fd, POLLIN, 0};
  if (poll(&poll_fd, 1, static_cast<int>(std::min<int64_t>(left, 1'000'000))) <=
      0) {
    return false;
  }
  char buffer[16384];
  const ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
  if (size <= 0) {
    return false;
  }
  input.append(buffer, static_cast<size_t>(size));
  return true;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

struct Head {
  std::string first_line;
  std::map<std::string, std::string> headers;
};

Head ParseHead(const std::string& text) {
  Head head;
  size_t at = text.find("\r\n");
  head.first_line = text.substr(0, at);
  while (at != std::string::npos && at + 2 < text.size()) {
    const size_t end = text.find("\r\n", at + 2);
    const std::string line = text.substr(at + 2, end - at - 2);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      head.headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
    at = end;
  }
  return head;
}

// Reads one message with a Content-Length; `input` keeps what follows it.
bool ReadMessage(int fd,
                 std::string& input,
                 Head& head,
                 std::string& body,
                 int64_t until_ms) {
  size_t end = std::string::npos;
  while ((end = input.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, input, until_ms)) {
      return false;
    }
  }
  head = ParseHead(input.substr(0, end));
  input.erase(0, end + 4);
  size_t length = 0;
  if (const auto found = head.headers.find("content-length");
      found != head.headers.end()) {
    length = std::strtoull(found->second.c_str(), nullptr, 10);
  }
  while (input.size() < length) {
    if (!ReadMore(fd, input, until_ms)) {
      return false;
    }
  }
  body = input.substr(0, length);
  input.erase(0, length);
  return true;
}

Request ToRequest(const Head& head, std::string body) {
  Request request;
  const size_t first = head.first_line.find(' ');
  const size_t second = head.first_line.find(' ', first + 1);
  request.method = head.first_line.substr(0, first);
  std::string target = head.first_line.substr(first + 1, second - first - 1);
  const size_t question = target.find('?');
  if (question != std::string::npos) {
    std::string query = target.substr(question + 1);
    target.resize(question);
    while (!query.empty()) {
      const size_t end = std::min(query.find('&'), query.size());
      const std::string part = query.substr(0, end);
      const size_t equals = part.find('=');
      if (equals != std::string::npos) {
        request.query[part.substr(0, equals)] =
            Unescape(part.substr(equals + 1));
      }
      query.erase(0, end + 1);
    }
  }
  request.path = target;
  request.headers = head.headers;
  request.body = std::move(body);
  return request;
}

}  // namespace

Server::Server(const Endpoint& address, Handler handler)
    : m_handler(std::move(handler)) {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in local = ToSocketAddress(address);
  if (bind(m_listener, reinterpret_cast<const sockaddr*>(&local),
           sizeof(local)) != 0 ||
      listen(m_listener, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  m_thread = std::thread([this]() { Accept(); });
}

Server::~Server() {
  m_stopping = true;
  shutdown(m_listener, SHUT_RDWR);
  m_thread.join();
  close(m_listener);
  BreakConnections();
  for (int i = 0; i < 400; ++i) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_open.empty()) {
        return;
      }
    }
    SleepMs(10);
  }
}

void Server::BreakConnections() {
  const std::lock_guard lock(m_mutex);
  for (const int fd : m_open) {
    shutdown(fd, SHUT_RDWR);
  }
}

void Server::Accept() {
  while (!m_stopping) {
    const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    {
      const std::lock_guard lock(m_mutex);
      m_open.insert(fd);
    }
    std::thread([this, fd]() { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  std::string input;
  while (!m_stopping) {
    Head head;
    std::string body;
    if (!ReadMessage(fd, input, head, body, SteadyMs() + 3'600'000)) {
      break;
    }
    const auto response = m_handler(ToRequest(head, std::move(body)));
    if (!response) {
      break;
    }
    if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response->status) +
                         " Status\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(response->body.size()) + "\r\n\r\n" +
                         response->body)) {
      break;
    }
  }
  {
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    close(fd);
  }
}

int ConnectTo(const Endpoint& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const int yes = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  const sockaddr_in remote = ToSocketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

std::string RequestText(const std::string& method,
                        const std::string& path,
                        const std::map<std::string, std::string>& headers,
                        const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!body.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Answer ReadAnswer(int fd, int timeout_ms) {
  Head head;
  std::string input;
  Answer answer;
  if (!ReadMessage(fd, input, head, answer.body, SteadyMs() + timeout_ms)) {
    return {};
  }
  const size_t blank = head.first_line.find(' ');
  answer.status = std::atoi(head.first_line.c_str() + blank + 1);
  return answer;
}

Answer Call(const Endpoint& address,
            const std::string& method,
            const std::string& path,
            const std::map<std::string, std::string>& headers,
            const std::string& body,
            int timeout_ms) {
  const int fd = ConnectTo(address);
  if (fd < 0) {
    return {};
  }
  Answer answer;
  if (SendAll(fd, RequestText(method, path, headers, body))) {
    answer = ReadAnswer(fd, timeout_ms);
  }
  close(fd);
  return answer;
}

uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in local{};
  local.sin_family = AF_INET;
  bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local));
  socklen_t size = sizeof(local);
  getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size);
  close(fd);
  return ntohs(local.sin_port);
}

int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace review
