// Stand-ins of the platform's store, runners and clients for the review cases.
// They follow PROTOCOL.md and run as threads of one process; the programs under
// test run as separate processes. Blocking sockets keep the code short.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

// ---------------------------------------------------------------- record ----

inline Clock::time_point g_begin = Clock::now();

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               g_begin)
      .count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline void SleepUntil(int64_t at_ms) {
  SleepMs(std::max<int64_t>(0, at_ms - NowMs()));
}

inline FILE* g_record = nullptr;
inline std::mutex g_record_mutex;

inline void OpenRecord(const char* path) {
  g_record = std::fopen(path, "w");
}

// Writes a line with the time in milliseconds since the start.
__attribute__((format(printf, 1, 2))) inline void Record(const char* format,
                                                         ...) {
  std::lock_guard lock(g_record_mutex);
  if (g_record == nullptr) {
    return;
  }
  std::fprintf(g_record, "%7lld ", static_cast<long long>(NowMs()));
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(g_record, format, arguments);
  va_end(arguments);
  std::fputc('\n', g_record);
  std::fflush(g_record);
}

inline bool TroubleIsOn() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Ends the process without destructors: threads may still be blocked.
[[noreturn]] inline void Finish(int code);

// --------------------------------------------------------------- sockets ----

struct Endpoint {
  std::string m_ip;
  uint16_t m_port = 0;
  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.m_port);
  inet_pton(AF_INET, endpoint.m_ip.c_str(), &address.sin_addr);
  return address;
}

// Returns -1 if the address is in use.
inline int ListenOn(const Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSockaddr(endpoint);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Returns a port that is free on the address now. Ports are taken below the
// range of outgoing connections.
inline uint16_t FreePort(const std::string& ip) {
  static std::mutex mutex;
  static uint32_t next = 10'000 + static_cast<uint32_t>(getpid()) * 37 % 15'000;
  std::lock_guard lock(mutex);
  for (int attempt = 0; attempt < 15'000; ++attempt) {
    next = next >= 30'000 ? 10'000 : next + 1;
    const int fd = ListenOn({ip, static_cast<uint16_t>(next)});
    if (fd >= 0) {
      close(fd);
      return static_cast<uint16_t>(next);
    }
  }
  return 0;
}

inline int ConnectTo(const Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = ToSockaddr(endpoint);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, const std::string& text) {
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

// ------------------------------------------------------------------ HTTP ----

struct Message {
  std::string m_first_line;
  std::map<std::string, std::string> m_headers;  // lower-case names
  std::string m_body;
};

// Reads one request or response. `buffer` keeps what follows it.
inline bool ReadHttp(int fd,
                     std::string& buffer,
                     Message& message,
                     int64_t deadline_ms) {
  size_t body_at = std::string::npos;
  size_t length = 0;
  for (;;) {
    if (body_at == std::string::npos) {
      const size_t end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        message = {};
        std::istringstream lines(buffer.substr(0, end));
        std::string line;
        std::getline(lines, line);
        message.m_first_line = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
          const size_t colon = line.find(':');
          if (colon == std::string::npos) {
            continue;
          }
          std::string name = line.substr(0, colon);
          std::ranges::transform(name, name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
          });
          std::string value = line.substr(colon + 1);
          value.erase(0, value.find_first_not_of(" \t"));
          value = value.substr(0, value.find('\r'));
          message.m_headers[name] = value;
        }
        body_at = end + 4;
        const auto found = message.m_headers.find("content-length");
        length =
            found == message.m_headers.end() ? 0 : std::stoul(found->second);
      }
    }
    if (body_at != std::string::npos && buffer.size() >= body_at + length) {
      message.m_body = buffer.substr(body_at, length);
      buffer.erase(0, body_at + length);
      return true;
    }
    const int64_t left = deadline_ms - NowMs();
    if (left <= 0) {
      return false;
    }
    pollfd entry{fd, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(std::min<int64_t>(left, 1000))) < 0) {
      return false;
    }
    if (entry.revents == 0) {
      continue;
    }
    char chunk[16'384];
    const ssize_t size = recv(fd, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<size_t>(size));
  }
}

struct Request {
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

struct Response {
  int m_status = 0;  // as an answer of a handler: 0 for none, ever
  std::string m_body;
};

inline std::string Unescape(const std::string& text) {
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

// Serves each connection on a thread of its own.
class HttpServer {
 public:
  using Handler = std::function<Response(const Request&)>;

  HttpServer(const Endpoint& endpoint, Handler handler)
      : m_handler(std::move(handler)), m_listener(ListenOn(endpoint)) {
    if (m_listener < 0) {
      Record("cannot listen on %s", endpoint.Text().c_str());
      Finish(2);
    }
    std::thread([this]() { AcceptAll(); }).detach();
  }

  // The connections that are open now go silent for good, without a reset. New
  // ones work.
  void Silence() {
    std::lock_guard lock(m_mutex);
    m_silent.insert(m_connections.begin(), m_connections.end());
  }

  // Resets all connections and refuses new ones, as the death of a process
  // does.
  void Crash() {
    std::lock_guard lock(m_mutex);
    m_is_dead = true;
    shutdown(m_listener, SHUT_RDWR);
    close(m_listener);
    for (const int fd : m_connections) {
      const linger hard{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void AcceptAll() {
    for (;;) {
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        std::lock_guard lock(m_mutex);
        if (m_is_dead) {
          close(fd);
          return;
        }
        m_connections.insert(fd);
      }
      std::thread([this, fd]() { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    std::string buffer;
    Message message;
    while (ReadHttp(fd, buffer, message, INT64_MAX)) {
      Request request;
      std::istringstream line(message.m_first_line);
      std::string target;
      line >> request.m_method >> target;
      const size_t mark = target.find('?');
      request.m_path = Unescape(target.substr(0, mark));
      if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
          const size_t equals = pair.find('=');
          request.m_query[pair.substr(0, equals)] =
              equals == std::string::npos ? ""
                                          : Unescape(pair.substr(equals + 1));
        }
      }
      request.m_headers = message.m_headers;
      request.m_body = message.m_body;
      ParkIfSilent(fd);
      const Response response = m_handler(request);
      ParkIfSilent(fd);
      if (response.m_status == 0) {
        continue;
      }
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response.m_status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(response.m_body.size()) + "\r\n\r\n" +
                           response.m_body)) {
        break;
      }
    }
    ParkIfSilent(fd);
    std::lock_guard lock(m_mutex);
    m_connections.erase(fd);
    close(fd);
  }

  // Keeps a silent connection open, so that its number is not used again.
  void ParkIfSilent(int fd) {
    for (;;) {
      {
        std::lock_guard lock(m_mutex);
        if (!m_silent.contains(fd)) {
          return;
        }
      }
      SleepMs(60'000);
    }
  }

  Handler m_handler;
  int m_listener;
  std::mutex m_mutex;
  std::set<int> m_connections;
  std::set<int> m_silent;
  bool m_is_dead = false;
};

// One request on a connection of its own. Status 0: no answer in time, or the
// connection broke.
inline Response Call(const Endpoint& to,
                     const std::string& method,
                     const std::string& target,
                     const std::string& body,
                     const std::string& headers,
                     int64_t timeout_ms) {
  const int fd = ConnectTo(to);
  if (fd < 0) {
    return {};
  }
  Response response;
  std::string text = method + " " + target + " HTTP/1.1\r\n" + headers;
  if (headers.find("Host:") == std::string::npos) {
    text += "Host: " + to.Text() + "\r\n";
  }
  if (!body.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  Message message;
  if (SendAll(fd, text) &&
      ReadHttp(fd, buffer, message, NowMs() + timeout_ms)) {
    std::istringstream line(message.m_first_line);
    std::string version;
    line >> version >> response.m_status;
    response.m_body = message.m_body;
  }
  close(fd);
  return response;
}

// ----------------------------------------------------------------- store ----

inline std::string Base64(const std::string& bytes) {
  static const char* kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      text +=
          i + j > bytes.size() ? '=' : kAlphabet[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      digit = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      digit = c - '0' + 52;
    } else if (c == '+') {
      digit = 62;
    } else if (c == '/') {
      digit = 63;
    } else {
      break;
    }
    group = group << 6 | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 0xFF);
    }
  }
  return bytes;
}

// The platform's metadata store: items, ranges, watches, transactions, leases.
class Store {
 public:
  explicit Store(const Endpoint& endpoint)
      : m_server(endpoint, [this](const Request& r) { return Handle(r); }) {
    std::thread([this]() {
      for (;;) {
        SleepMs(20);
        ExpireLeases();
      }
    }).detach();
  }

  // The operator's writes. They return the time of the acknowledgement.
  int64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard lock(m_mutex);
    WriteItem(key, value, 0);
    m_changed.notify_all();
    return NowMs();
  }
  int64_t Remove(const std::string& key) {
    std::lock_guard lock(m_mutex);
    RemoveItem(key);
    m_changed.notify_all();
    return NowMs();
  }
  void SilenceConnections() { m_server.Silence(); }
  bool Has(const std::string& key) {
    std::lock_guard lock(m_mutex);
    return m_items.contains(key);
  }

  // Called before a write of the system is carried out, with its key. A
  // positive result delays it by that many milliseconds and loses its answer.
  std::function<int64_t(const std::string&)> m_lose_write;

 private:
  struct Item {
    std::string m_value;
    uint64_t m_revision = 0;
    uint64_t m_created = 0;
    uint64_t m_lease = 0;
  };
  struct Event {
    std::string m_key;
    Item m_item;
    uint64_t m_revision = 0;
    bool m_is_removal = false;
  };
  struct Lease {
    int64_t m_ttl_ms = 0;
    int64_t m_expires_at = 0;
  };

  void WriteItem(const std::string& key,
                 const std::string& value,
                 uint64_t lease) {
    Item& item = m_items[key];
    item.m_value = value;
    item.m_revision = ++m_revision;
    item.m_created = item.m_created == 0 ? m_revision : item.m_created;
    item.m_lease = lease;
    m_events.push_back({key, item, m_revision, false});
  }
  void RemoveItem(const std::string& key) {
    if (m_items.erase(key) > 0) {
      ++m_revision;
      m_events.push_back({key, {}, m_revision, true});
    }
  }
  void EndLease(uint64_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.m_lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveItem(key);
    }
    m_changed.notify_all();
  }
  void ExpireLeases() {
    std::lock_guard lock(m_mutex);
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : m_leases) {
      if (lease.m_expires_at <= NowMs()) {
        ended.push_back(id);
      }
    }
    for (const uint64_t id : ended) {
      EndLease(id);
    }
  }

  static Json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", Base64(item.m_value)},
            {"revision", item.m_revision},
            {"created", item.m_created},
            {"lease_id", item.m_lease}};
  }

  Response Handle(const Request& request) {
    std::unique_lock lock(m_mutex);
    const auto query = [&](const char* name) {
      const auto found = request.m_query.find(name);
      return found == request.m_query.end() ? std::string() : found->second;
    };
    const auto last = [&]() {
      return std::strtoull(
          request.m_path.substr(request.m_path.rfind('/') + 1).c_str(), nullptr,
          10);
    };
    if (request.m_path == "/api/kv-key") {
      const auto found = m_items.find(query("key"));
      return found == m_items.end()
                 ? Response{404, "{}"}
                 : Response{200, ToJson(found->first, found->second).dump()};
    }
    if (request.m_path == "/api/kv-range") {
      Json items = Json::array();
      const std::string prefix = query("prefix");
      const std::string after = query("after");
      for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix) && key > after) {
          items.push_back(ToJson(key, item));
        }
      }
      return {
          200,
          Json{{"items", items}, {"has_more", false}, {"at_rev", m_revision}}
              .dump()};
    }
    if (request.m_path == "/api/kv-watch") {
      const std::string prefix = query("prefix");
      const uint64_t after = std::strtoull(query("after").c_str(), nullptr, 10);
      const int64_t until =
          NowMs() + std::strtoll(query("wait_ms").c_str(), nullptr, 10);
      for (;;) {
        Json events = Json::array();
        for (const Event& event : m_events) {
          if (event.m_revision <= after || !event.m_key.starts_with(prefix)) {
            continue;
          }
          events.push_back(event.m_is_removal
                               ? Json{{"key", event.m_key},
                                      {"revision", event.m_revision},
                                      {"tombstone", true}}
                               : ToJson(event.m_key, event.m_item));
        }
        if (!events.empty() || NowMs() >= until) {
          if (!events.empty()) {
            Record("store: watch on %s answered with %s", prefix.c_str(),
                   Brief(events).c_str());
          }
          return {200, Json{{"events", events}, {"at_rev", m_revision}}.dump()};
        }
        m_changed.wait_for(lock,
                           std::chrono::milliseconds(until - NowMs() + 1));
      }
    }
    if (request.m_path == "/api/kv-txn") {
      const Json body = Json::parse(request.m_body);
      const std::string first =
          body["puts"].empty() ? "" : body["puts"][0]["key"].get<std::string>();
      const int64_t delay = m_lose_write ? m_lose_write(first) : 0;
      if (delay > 0) {
        lock.unlock();
        SleepMs(delay);
        lock.lock();
      }
      for (const Json& row : body["expect"]) {
        const auto found = m_items.find(row["key"].get<std::string>());
        const uint64_t revision =
            found == m_items.end() ? 0 : found->second.m_revision;
        if (revision != row["revision"].get<uint64_t>()) {
          return {412, R"({"items":[]})"};
        }
      }
      for (const Json& row : body["puts"]) {
        const uint64_t lease = row.value("lease_id", uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease)) {
          return {404, "{}"};
        }
      }
      for (const Json& row : body["puts"]) {
        WriteItem(row["key"], FromBase64(row["value"]),
                  row.value("lease_id", uint64_t{0}));
      }
      for (const Json& key : body["remove"]) {
        RemoveItem(key);
      }
      m_changed.notify_all();
      return {delay > 0 ? 0 : 200, Json{{"revision", m_revision}}.dump()};
    }
    if (request.m_path == "/api/kv-lease") {
      const int64_t ttl = Json::parse(request.m_body)["ttl_ms"];
      const uint64_t id = ++m_last_lease;
      m_leases[id] = {ttl, NowMs() + ttl};
      return {200, Json{{"lease_id", id}, {"ttl_ms", ttl}}.dump()};
    }
    if (request.m_path.starts_with("/api/kv-keep/")) {
      const auto found = m_leases.find(last());
      if (found == m_leases.end()) {
        return {404, "{}"};
      }
      found->second.m_expires_at = NowMs() + found->second.m_ttl_ms;
      return {200, Json{{"ttl_ms", found->second.m_ttl_ms}}.dump()};
    }
    if (request.m_path.starts_with("/api/kv-lease-end/")) {
      if (!m_leases.contains(last())) {
        return {404, "{}"};
      }
      EndLease(last());
      return {200, "{}"};
    }
    return {400, "{}"};
  }

  static std::string Brief(const Json& events) {
    std::string text;
    for (const Json& event : events) {
      text += (text.empty() ? "" : ", ") + event["key"].get<std::string>() +
              (event.contains("tombstone") ? " removed" : " written") + " at " +
              std::to_string(event["revision"].get<uint64_t>());
    }
    return text;
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  std::map<uint64_t, Lease> m_leases;
  uint64_t m_revision = 100;
  uint64_t m_last_lease = 0;
  HttpServer m_server;
};

// ---------------------------------------------------------------- runner ----

// What every runner of a case has run, for the check.
struct RunEntry {
  std::string m_runner;
  std::string m_zone;
  std::string m_task;
  uint64_t m_run = 0;
  int64_t m_started_at = 0;
  int64_t m_ended_at = -1;  // -1: still running
  std::string m_how;
};

class RunLog {
 public:
  size_t Begin(RunEntry entry) {
    std::lock_guard lock(m_mutex);
    m_entries.push_back(std::move(entry));
    return m_entries.size() - 1;
  }
  void End(size_t index, const std::string& how) {
    std::lock_guard lock(m_mutex);
    m_entries[index].m_ended_at = NowMs();
    m_entries[index].m_how = how;
  }
  std::vector<RunEntry> Entries() {
    std::lock_guard lock(m_mutex);
    return m_entries;
  }

 private:
  std::mutex m_mutex;
  std::vector<RunEntry> m_entries;
};

// Records and counts the pairs of runs of one task that ran at the same time on
// runners that were up. The end of a run that a crash ended is the crash.
inline size_t CountRunsAtTheSameTime(const std::vector<RunEntry>& runs) {
  std::map<std::string, std::vector<const RunEntry*>> by_task;
  for (const RunEntry& run : runs) {
    by_task[run.m_task].push_back(&run);
  }
  const auto end_of = [](const RunEntry& run) {
    return run.m_ended_at < 0 ? NowMs() : run.m_ended_at;
  };
  size_t pairs = 0;
  for (const auto& [task, list] : by_task) {
    for (size_t i = 0; i < list.size(); ++i) {
      for (size_t j = i + 1; j < list.size(); ++j) {
        const RunEntry& first = *list[i];
        const RunEntry& second = *list[j];
        const int64_t begin = std::max(first.m_started_at, second.m_started_at);
        const int64_t end = std::min(end_of(first), end_of(second));
        if (end <= begin) {
          continue;
        }
        ++pairs;
        Record(
            "check: %s ran twice for %lld ms: on %s from %lld to %lld (%s), "
            "on %s from %lld to %lld (%s)",
            task.c_str(), static_cast<long long>(end - begin),
            first.m_runner.c_str(), static_cast<long long>(first.m_started_at),
            static_cast<long long>(first.m_ended_at), first.m_how.c_str(),
            second.m_runner.c_str(),
            static_cast<long long>(second.m_started_at),
            static_cast<long long>(second.m_ended_at), second.m_how.c_str());
      }
    }
  }
  return pairs;
}

struct RunnerOptions {
  std::string m_id;
  std::string m_service = "app";
  std::string m_zone;
  std::string m_rack = "r1";
  Endpoint m_address;
  Endpoint m_heartbeats_to;
  int64_t m_heartbeat_ms = 1500;
  int64_t m_cpu = 64'000;
  int64_t m_stop_ms = 20;
  int64_t m_max_hold_ms = 1000;
};

// One machine's runner. Crash() ends its life, Start() begins a new one under
// the same id, which knows nothing of before.
class Runner {
 public:
  Runner(RunnerOptions options, RunLog& log)
      : m_options(std::move(options)), m_log(log) {}

  // `first_heartbeat_ms`: time from the start until the first heartbeat.
  void Start(int64_t first_heartbeat_ms = 0) {
    const auto life = std::make_shared<Life>();
    life->m_born = UnixMs();
    life->m_begun_at = NowMs();
    {
      std::lock_guard lock(m_mutex);
      m_life = life;
    }
    Record("%s: started, born %lld", m_options.m_id.c_str(),
           static_cast<long long>(life->m_born));
    life->m_server = std::make_unique<HttpServer>(
        m_options.m_address,
        [this, life](const Request& request) { return Handle(life, request); });
    std::thread([this, life, first_heartbeat_ms]() {
      SleepMs(first_heartbeat_ms);
      Heartbeat(life);
    }).detach();
    std::thread([this, life]() { Work(life); }).detach();
  }

  // The process dies: all that it runs ends, its connections are reset.
  void Crash() {
    const std::shared_ptr<Life> life = CurrentLife();
    {
      std::lock_guard lock(life->m_mutex);
      life->m_is_dead = true;
      for (const auto& [task, run] : life->m_running) {
        m_log.End(run.m_log_index, "crash");
      }
      life->m_running.clear();
      life->m_changed.notify_all();
    }
    life->m_server->Crash();
    Record("%s: crashed", m_options.m_id.c_str());
  }

  void SetDraining() { CurrentLife()->m_is_draining = true; }

  // Called with each start order and its body. A positive result loses the
  // answer and carries the order out that many milliseconds later, by the
  // runner that lives then.
  std::function<int64_t(const Json&)> m_delay_start;

  const RunnerOptions& options() const { return m_options; }

 private:
  struct Run {
    uint64_t m_number = 0;
    int64_t m_ends_at = 0;
    int64_t m_runs_for = 0;
    int64_t m_stop_at = -1;
    int64_t m_cpu = 0;
    size_t m_log_index = 0;
  };
  struct Life {
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unique_ptr<HttpServer> m_server;
    int64_t m_born = 0;
    int64_t m_begun_at = 0;
    std::atomic<bool> m_is_dead = false;
    std::atomic<bool> m_is_draining = false;
    std::map<std::string, Run> m_running;
    // The highest run of a task that has been stopped or has ended here.
    std::map<std::string, uint64_t> m_closed;
    std::vector<Json> m_ended;
    uint64_t m_last_end = 0;
    uint64_t m_token = 0;
    int64_t m_lease_until = 0;  // on the runner's clock
    uint64_t m_sequence = 0;
  };
  using LifePointer = std::shared_ptr<Life>;

  LifePointer CurrentLife() {
    std::lock_guard lock(m_mutex);
    return m_life;
  }

  // The runner's clock starts anew with each life.
  static int64_t ClockOf(const Life& life) {
    return NowMs() - life.m_begun_at + 1000;
  }

  void Heartbeat(const LifePointer& life) {
    while (!life->m_is_dead) {
      const Json body{
          {"service", m_options.m_service},
          {"address", m_options.m_address.Text()},
          {"zone", m_options.m_zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", life->m_is_draining ? "draining" : "ready"},
          {"cold_left_ms", 0},
          {"capacity",
           {{"cpu", m_options.m_cpu}, {"mem_mb", 131'072}, {"gpu", 0}}},
          {"labels", {"a", m_options.m_rack}},
          {"clock_ms", ClockOf(*life)},
          {"born", life->m_born},
          {"seq", ++life->m_sequence}};
      const Response response =
          Call(m_options.m_heartbeats_to, "PUT",
               "/api/instances/" + m_options.m_id, body.dump(), "", 1000);
      if (life->m_sequence == 1) {
        Record("%s: first heartbeat answered %d", m_options.m_id.c_str(),
               response.m_status);
      }
      SleepMs(response.m_status == 200 ? m_options.m_heartbeat_ms : 200);
    }
  }

  // Ends runs: done, stopped or lapsed.
  void Work(const LifePointer& life) {
    while (!life->m_is_dead) {
      SleepMs(2);
      std::lock_guard lock(life->m_mutex);
      if (life->m_is_dead) {
        return;
      }
      const bool has_lapsed = ClockOf(*life) >= life->m_lease_until;
      for (auto found = life->m_running.begin();
           found != life->m_running.end();) {
        const Run& run = found->second;
        const char* how = nullptr;
        if (NowMs() >= run.m_ends_at) {
          how = "done";
        } else if (run.m_stop_at >= 0 && NowMs() >= run.m_stop_at) {
          how = "stopped";
        } else if (has_lapsed) {
          how = "lapsed";
        }
        if (how == nullptr) {
          ++found;
          continue;
        }
        EndRun(*life, found->first, run, how);
        found = life->m_running.erase(found);
      }
    }
  }

  void EndRun(Life& life,
              const std::string& task,
              const Run& run,
              const char* how) {
    uint64_t& closed = life.m_closed[task];
    closed = std::max(closed, run.m_number);
    life.m_ended.push_back({++life.m_last_end, task, run.m_number, how, ""});
    m_log.End(run.m_log_index, how);
    Record("%s: %s run %llu ended %s", m_options.m_id.c_str(), task.c_str(),
           static_cast<unsigned long long>(run.m_number), how);
    life.m_changed.notify_all();
  }

  void ExtendLease(Life& life, int64_t deadline) {
    life.m_lease_until =
        std::max(life.m_lease_until,
                 std::min(deadline, ClockOf(life) + m_options.m_max_hold_ms));
  }

  static Response Refusal(const Life& life, const char* reason) {
    return {409, Json{{"clock_ms", ClockOf(life)}, {"reason", reason}}.dump()};
  }

  Response Handle(const LifePointer& life, const Request& request) {
    const auto target = request.m_headers.find("target-instance");
    if (target == request.m_headers.end() || target->second != m_options.m_id) {
      return {421, "{}"};
    }
    const Json body = Json::parse(request.m_body);
    if (request.m_path == "/api/run-start") {
      const int64_t delay = m_delay_start ? m_delay_start(body) : 0;
      if (delay <= 0) {
        return StartRun(*life, body, "");
      }
      Record("%s: %s run %llu held up for %lld ms, no answer",
             m_options.m_id.c_str(), body["task_id"].get<std::string>().c_str(),
             static_cast<unsigned long long>(body["run_id"].get<uint64_t>()),
             static_cast<long long>(delay));
      std::thread([this, body, delay]() {
        SleepMs(delay);
        StartRun(*CurrentLife(), body, " (held up)");
      }).detach();
      return {};
    }
    if (request.m_path == "/api/run-stop") {
      return StopRun(*life, body);
    }
    if (request.m_path == "/api/hold") {
      return Hold(*life, body);
    }
    return {404, "{}"};
  }

  bool IsFenced(Life& life, const Json& body) {
    const uint64_t token = body.value("fencing_token", uint64_t{0});
    if (token < life.m_token) {
      return true;
    }
    life.m_token = token;
    return false;
  }

  Response StartRun(Life& life, const Json& body, const char* note) {
    std::lock_guard lock(life.m_mutex);
    if (life.m_is_dead) {
      return {};
    }
    const std::string task = body["task_id"];
    const uint64_t number = body["run_id"];
    const int64_t deadline = body["deadline_ms"];
    const char* refusal = nullptr;
    if (IsFenced(life, body)) {
      refusal = "fence";
    } else if (const auto found = life.m_running.find(task);
               found != life.m_running.end() &&
               found->second.m_number == number) {
      return {200, Json{{"clock_ms", ClockOf(life)}}.dump()};
    } else if (found != life.m_running.end() ||
               (life.m_closed.contains(task) &&
                number <= life.m_closed[task])) {
      refusal = "old";
      ExtendLease(life, deadline);
    } else if (deadline <= ClockOf(life)) {
      refusal = "late";
    }
    if (refusal != nullptr) {
      Record("%s: %s run %llu rejected%s: %s", m_options.m_id.c_str(),
             task.c_str(), static_cast<unsigned long long>(number), note,
             refusal);
      return Refusal(life, refusal);
    }
    ExtendLease(life, deadline);
    Run run;
    run.m_number = number;
    // The stand-ins' clients say in task_spec how long a task takes.
    run.m_runs_for =
        std::strtoll(body["task_spec"].get<std::string>().c_str(), nullptr, 10);
    run.m_ends_at = NowMs() + run.m_runs_for;
    run.m_log_index = m_log.Begin(
        {m_options.m_id, m_options.m_zone, task, number, NowMs(), -1, ""});
    life.m_running[task] = run;
    Record("%s: %s run %llu started%s", m_options.m_id.c_str(), task.c_str(),
           static_cast<unsigned long long>(number), note);
    return {200, Json{{"clock_ms", ClockOf(life)}}.dump()};
  }

  Response StopRun(Life& life, const Json& body) {
    std::lock_guard lock(life.m_mutex);
    if (IsFenced(life, body)) {
      return Refusal(life, "fence");
    }
    const std::string task = body["task_id"];
    const uint64_t number = body["run_id"];
    const auto found = life.m_running.find(task);
    if (found != life.m_running.end() && found->second.m_number == number) {
      if (found->second.m_stop_at < 0) {
        found->second.m_stop_at = NowMs() + m_options.m_stop_ms;
      }
    }
    uint64_t& closed = life.m_closed[task];
    closed = std::max(closed, number);
    Record("%s: %s run %llu told to stop", m_options.m_id.c_str(), task.c_str(),
           static_cast<unsigned long long>(number));
    return {200, Json{{"clock_ms", ClockOf(life)}}.dump()};
  }

  Response Hold(Life& life, const Json& body) {
    std::unique_lock lock(life.m_mutex);
    if (IsFenced(life, body)) {
      return Refusal(life, "fence");
    }
    if (body.contains("deadline_ms")) {
      ExtendLease(life, body["deadline_ms"]);
    }
    const uint64_t acknowledged = body.value("acked_upto", uint64_t{0});
    std::erase_if(life.m_ended, [&](const Json& row) {
      return row[0].get<uint64_t>() <= acknowledged;
    });
    const int64_t until = NowMs() + body.value("wait_ms", int64_t{0});
    while (life.m_ended.empty() && !life.m_is_dead && NowMs() < until) {
      life.m_changed.wait_for(lock,
                              std::chrono::milliseconds(until - NowMs() + 1));
    }
    if (life.m_is_dead) {
      return {};
    }
    Json running = Json::array();
    for (const auto& [task, run] : life.m_running) {
      const int64_t left = run.m_ends_at - NowMs();
      const int64_t percent = std::clamp<int64_t>(
          100 - 100 * left / std::max<int64_t>(1, run.m_runs_for), 0, 99);
      running.push_back({task, run.m_number, "", percent, 1000});
    }
    Json ended = Json::array();
    for (const Json& row : life.m_ended) {
      ended.push_back(row);
    }
    return {200, Json{{"clock_ms", ClockOf(life)},
                      {"born", life.m_born},
                      {"running", running},
                      {"ended", ended}}
                     .dump()};
  }

  RunnerOptions m_options;
  RunLog& m_log;
  std::mutex m_mutex;
  LifePointer m_life;
};

// ------------------------------------------------------------- processes ----

inline std::string g_folder;  // of settings and logs
inline std::vector<pid_t> g_children;

// A process of the program under test.
class Process {
 public:
  Process(std::string name,
          std::string role,
          std::string ip,
          std::string settings)
      : m_name(std::move(name)), m_role(std::move(role)), m_ip(std::move(ip)) {
    std::ofstream(SettingsPath()) << settings;
  }

  void Start() {
    const std::string program = std::getenv("COMFREYSHIFT_PROGRAM");
    const std::string variable = "COMFREYSHIFT_SETTINGS=" + SettingsPath();
    const std::string log = g_folder + "/" + m_name + ".log";
    // The metrics port of the deploy file may be in use on this address.
    const std::string port = std::to_string(FreePort("127.0.0.1"));
    m_pid = fork();
    if (m_pid == 0) {
      // Nothing outlives the case, even if it is killed. Start() is called from
      // the main thread, which lives as long as the process.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2(fd, STDOUT_FILENO);
      dup2(fd, STDERR_FILENO);
      const char* arguments[] = {program.c_str(), m_role.c_str(),
                                 "--metrics-port", port.c_str(), nullptr};
      const char* environment[] = {variable.c_str(), nullptr};
      execve(program.c_str(), const_cast<char**>(arguments),
             const_cast<char**>(environment));
      _exit(127);
    }
    g_children.push_back(m_pid);
    Record("%s: process started", m_name.c_str());
  }

  void Signal(int signal, const char* what) {
    kill(m_pid, signal);
    Record("%s: %s", m_name.c_str(), what);
  }

  bool HasExited() {
    int status = 0;
    return waitpid(m_pid, &status, WNOHANG) == m_pid;
  }

  const std::string& name() const { return m_name; }

 private:
  std::string SettingsPath() const { return g_folder + "/" + m_name + ".conf"; }

  std::string m_name;
  std::string m_role;
  std::string m_ip;
  pid_t m_pid = 0;
};

[[noreturn]] inline void Finish(int code) {
  for (const pid_t pid : g_children) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  if (!g_folder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(g_folder, ignored);
  }
  Record("exit %d", code);
  std::fprintf(stderr, "exit %d\n", code);
  _exit(code);
}

// Call first: opens record.txt and a temporary folder.
inline void Begin() {
  signal(SIGPIPE, SIG_IGN);
  OpenRecord("record.txt");
  char folder[] = "/tmp/comfreyshift-review-XXXXXX";
  if (mkdtemp(folder) == nullptr ||
      std::getenv("COMFREYSHIFT_PROGRAM") == nullptr) {
    Finish(2);
  }
  g_folder = folder;
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::fprintf(stderr, "logs of the processes: %s\n", folder);
  }
  Record("TROUBLE=%d", TroubleIsOn() ? 1 : 0);
}

// ----------------------------------------------------------------- fleet ----

inline std::string JobId(uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number));
  return text;
}

struct Machine {
  std::string m_name;
  std::string m_zone;
  std::string m_ip;
  Endpoint m_front;
  Endpoint m_ready;
  Endpoint m_control;
  Endpoint m_app;
  std::unique_ptr<Process> m_process;
  std::unique_ptr<Runner> m_runner;
};

// A small deployment: entries and agents of the real program, with one runner
// for each agent.
class Fleet {
 public:
  Fleet()
      : m_store_endpoint{"127.0.0.7", FreePort("127.0.0.7")},
        m_store(m_store_endpoint) {}

  Store& store() { return m_store; }
  RunLog& log() { return m_log; }
  Machine& entry(size_t index) { return m_entries[index]; }
  Machine& agent(size_t index) { return m_agents[index]; }
  size_t agents() const { return m_agents.size(); }

  void AddEntry(const std::string& zone) {
    Machine machine;
    const std::string number = std::to_string(m_entries.size() + 1);
    machine.m_name = "frontend-" + number;
    machine.m_zone = zone;
    machine.m_ip = "127.0.1." + number;
    machine.m_front = {machine.m_ip, FreePort(machine.m_ip)};
    machine.m_ready = {machine.m_ip, FreePort(machine.m_ip)};
    machine.m_process = std::make_unique<Process>(
        machine.m_name, "platform-entry", machine.m_ip,
        Settings(machine, "frontend") +
            "listen.front=" + machine.m_front.Text() +
            "\nlisten.ready_addr=" + machine.m_ready.Text() + "\n");
    m_entries.push_back(std::move(machine));
  }

  void AddAgent(const std::string& zone, RunnerOptions options = {}) {
    Machine machine;
    const std::string number = std::to_string(m_agents.size() + 1);
    machine.m_name = "side-" + number;
    machine.m_zone = zone;
    machine.m_ip = "127.0.2." + number;
    machine.m_control = {machine.m_ip, FreePort(machine.m_ip)};
    machine.m_app = {machine.m_ip, FreePort(machine.m_ip)};
    machine.m_process = std::make_unique<Process>(
        machine.m_name, "platform-agent", machine.m_ip,
        Settings(machine, "side") + "listen.control=" +
            machine.m_control.Text() + "\napp=" + machine.m_app.Text() + "\n");
    options.m_id = "i-" + number;
    options.m_zone = zone;
    options.m_rack = "r" + number;
    options.m_address = machine.m_app;
    options.m_heartbeats_to = machine.m_control;
    machine.m_runner = std::make_unique<Runner>(options, m_log);
    m_agents.push_back(std::move(machine));
  }

  // The machines of the site arroyos-turnos: 4 entries and 11 runners.
  void AddSite(const RunnerOptions& options = {}) {
    const std::vector<std::string> zones{"zona-norte", "zona-sur",
                                         "zona-oriente", "zona-poniente"};
    for (const std::string& zone : zones) {
      AddEntry(zone);
    }
    for (size_t i = 0; i < 11; ++i) {
      AddAgent(zones[i % zones.size()], options);
    }
  }

  // Sends `jobs_per_s` jobs to the entries in turn until EndTraffic().
  void BeginTraffic(int jobs_per_s, int tasks, int64_t run_ms) {
    m_traffic = std::thread([this, jobs_per_s, tasks, run_ms]() {
      for (uint64_t number = 1; !m_is_traffic_over; ++number) {
        std::thread([this, number, tasks, run_ms]() {
          const size_t entry = number % m_entries.size();
          m_served +=
              Submit(entry, JobId(number), tasks, run_ms, 1500) == 200 ? 1 : 0;
        }).detach();
        SleepMs(1000 / jobs_per_s);
      }
    });
  }
  void EndTraffic() {
    m_is_traffic_over = true;
    m_traffic.join();
    SleepMs(2500);
  }
  uint64_t served() const { return m_served; }

  // Starts all, stores the configuration and waits until the entries are ready
  // and every runner has run a task.
  void Start() {
    m_store.Put("op/config", Config(7));
    for (Machine& machine : m_agents) {
      machine.m_process->Start();
    }
    for (Machine& machine : m_entries) {
      machine.m_process->Start();
    }
    SleepMs(500);
    for (Machine& machine : m_agents) {
      machine.m_runner->Start();
    }
    const int64_t until = NowMs() + 20'000;
    for (;;) {
      SleepMs(100);
      if (NowMs() > until) {
        Record("the fleet did not become ready");
        Finish(2);
      }
      const bool is_ready = std::ranges::all_of(m_entries, [](Machine& m) {
        return Call(m.m_ready, "GET", "/api/readyz", "", "", 500).m_status ==
               200;
      });
      if (is_ready) {
        break;
      }
    }
    SleepMs(2500);
    Record("the fleet is ready");
  }

  // A configuration with the route of the traffic, /p/, and others.
  static std::string Config(uint64_t version,
                            const std::vector<std::string>& others = {}) {
    std::vector<std::string> prefixes{"/p/"};
    prefixes.insert(prefixes.end(), others.begin(), others.end());
    Json routes = Json::array();
    for (const std::string& prefix : prefixes) {
      routes.push_back({{"name", "queue " + prefix},
                        {"hostname", "h.example"},
                        {"prefix", prefix},
                        {"service", "app"},
                        {"priority", 0},
                        {"max_attempts", 4},
                        {"stretch", 1.6},
                        {"target_latency_ms", 1000}});
    }
    return Json{{"version", version},
                {"routes", routes},
                {"services", {{{"name", "app"}, {"admission_check", false}}}},
                {"limits", {{"max_body_bytes", 262'144}}}}
        .dump();
  }

  // Sends a best-effort job of `tasks` tasks that take `run_ms` each, and waits
  // for its answer. Returns the status; 0 for none.
  int Submit(size_t entry,
             const std::string& id,
             int tasks,
             int64_t run_ms,
             int64_t deadline_ms,
             int64_t cpu = 6200) {
    const Json body{{"task_spec", std::to_string(run_ms)},
                    {"best_effort", true},
                    {"steps",
                     {{{"count", tasks},
                       {"cpu", cpu},
                       {"mem_mb", 64},
                       {"est_runtime_ms", run_ms}}}}};
    Record("client: POST %s at %s", id.c_str(),
           m_entries[entry].m_name.c_str());
    const Response response =
        Call(m_entries[entry].m_front, "POST", "/p/" + id, body.dump(),
             "Host: h.example\r\nDeadline-Remaining: " +
                 std::to_string(deadline_ms) + "\r\n",
             deadline_ms);
    Record("client: %s answered %d %s", id.c_str(), response.m_status,
           response.m_body.c_str());
    return response.m_status;
  }

  Response Delete(size_t entry, const std::string& id) {
    Record("client: DELETE %s at %s", id.c_str(),
           m_entries[entry].m_name.c_str());
    const Response response =
        Call(m_entries[entry].m_front, "DELETE", "/p/" + id, "",
             "Host: h.example\r\nDeadline-Remaining: 1500\r\n", 1500);
    Record("client: DELETE %s answered %d", id.c_str(), response.m_status);
    return response;
  }

 private:
  std::string Settings(const Machine& machine, const std::string& serves) {
    const std::string port = std::to_string(FreePort(machine.m_ip));
    return "node_name=" + machine.m_name + "\nrole=my-" + serves +
           "\nmachine_class=" + serves + "\nserves=" + serves +
           "\nip=" + machine.m_ip + "\nzone=" + machine.m_zone +
           "\nregion=region\nport_range=" + port + "," + port +
           "\nbootstrap=true\ndiscovery=local\nheartbeat_ms=1500\norders=invoke"
           "\nplatform.form=kv\nplatform.address=" +
           m_store_endpoint.Text() +
           "\nplatform.min_ttl_ms=1000\nbounds.contact_ms=3000"
           "\nbounds.grace_s=6\nbounds.max_hold_ms=1000\nbounds.stop_ms=50"
           "\nbounds.cancel_ms=3000\nbounds.evacuate_ms=5000"
           "\nbounds.remote_factor=1.5\nbounds.retransmit_ms=1300\n";
  }

  Endpoint m_store_endpoint;
  Store m_store;
  RunLog m_log;
  std::vector<Machine> m_entries;
  std::vector<Machine> m_agents;
  std::thread m_traffic;
  std::atomic<bool> m_is_traffic_over = false;
  std::atomic<uint64_t> m_served = 0;
};

}  // namespace review
