#ifndef TESTS_HTTP_RAW_SERVER_H_
#define TESTS_HTTP_RAW_SERVER_H_

#include <gio/gio.h>

#include <memory>
#include <string>
#include <vector>

namespace comfreyshift {

// What the raw server does with the next request or connection.
enum class RawAction {
  kReply,
  // Reply and close, without announcing it.
  kReplyAndClose,
  kCloseAfterReading,
  kCloseAfterAccepting,
  kNeverReply,
};

// A server on loopback below any HTTP library, which counts what arrives.
class RawServer {
 public:
  RawServer() : m_service(g_socket_service_new()) {
    m_port = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(m_service),
                                                 nullptr, nullptr);
    g_signal_connect(m_service, "incoming", G_CALLBACK(&RawServer::OnIncoming),
                     this);
    g_socket_service_start(m_service);
  }
  ~RawServer() {
    m_connections.clear();
    g_socket_service_stop(m_service);
    g_socket_listener_close(G_SOCKET_LISTENER(m_service));
    g_object_unref(m_service);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(m_port);
  }
  int connections() const { return m_accepted; }
  int requests() const { return m_requests; }

  // Actions for the next requests, in order; kReply after the last. A
  // connection is closed after accepting when that is the next action.
  std::vector<RawAction> m_actions;

 private:
  struct Connection {
    Connection(RawServer* server, GSocketConnection* connection)
        : m_server(server),
          m_connection(G_SOCKET_CONNECTION(g_object_ref(connection))),
          m_source(
              g_socket_create_source(g_socket_connection_get_socket(connection),
                                     G_IO_IN,
                                     nullptr)) {
      g_source_set_callback(m_source, G_SOURCE_FUNC(&RawServer::OnReadable),
                            this, nullptr);
      g_source_attach(m_source, nullptr);
    }
    ~Connection() {
      g_source_destroy(m_source);
      g_source_unref(m_source);
      g_io_stream_close(G_IO_STREAM(m_connection), nullptr, nullptr);
      g_object_unref(m_connection);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    RawServer* m_server;
    GSocketConnection* m_connection;
    GSource* m_source;
    std::string m_text;
  };

  static gboolean OnIncoming(GSocketService*,
                             GSocketConnection* connection,
                             GObject*,
                             RawServer* self) {
    ++self->m_accepted;
    if (!self->m_actions.empty() &&
        self->m_actions.front() == RawAction::kCloseAfterAccepting) {
      self->m_actions.erase(self->m_actions.begin());
      g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
      return TRUE;
    }
    self->m_connections.push_back(
        std::make_unique<Connection>(self, connection));
    return TRUE;
  }

  static gboolean OnReadable(GSocket* socket, GIOCondition, Connection* data) {
    char buffer[4096];
    const gssize size =
        g_socket_receive(socket, buffer, sizeof(buffer), nullptr, nullptr);
    if (size <= 0) {
      data->m_server->Remove(data);
      return G_SOURCE_REMOVE;
    }
    data->m_text.append(buffer, size);
    if (!IsComplete(data->m_text)) {
      return G_SOURCE_CONTINUE;
    }
    data->m_text.clear();
    return data->m_server->Act(socket, data);
  }

  static bool IsComplete(const std::string& text) {
    const size_t end = text.find("\r\n\r\n");
    const size_t length = text.find("Content-Length: ");
    if (end == std::string::npos) {
      return false;
    }
    return length == std::string::npos ||
           text.size() >= end + 4 + std::stoul(text.substr(length + 16));
  }

  gboolean Act(GSocket* socket, Connection* connection) {
    ++m_requests;
    RawAction action = RawAction::kReply;
    if (!m_actions.empty()) {
      action = m_actions.front();
      m_actions.erase(m_actions.begin());
    }
    if (action == RawAction::kReply || action == RawAction::kReplyAndClose) {
      const std::string reply =
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      g_socket_send(socket, reply.data(), reply.size(), nullptr, nullptr);
    }
    if (action == RawAction::kReply || action == RawAction::kNeverReply) {
      return G_SOURCE_CONTINUE;
    }
    Remove(connection);
    return G_SOURCE_REMOVE;
  }

  void Remove(Connection* connection) {
    std::erase_if(m_connections, [&](const auto& existing) {
      return existing.get() == connection;
    });
  }

  GSocketService* m_service;
  guint16 m_port = 0;
  int m_accepted = 0;
  int m_requests = 0;
  std::vector<std::unique_ptr<Connection>> m_connections;
};

}  // namespace comfreyshift

#endif  // TESTS_HTTP_RAW_SERVER_H_
