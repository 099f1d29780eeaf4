#include "rpc/glib_stream.h"

#include <errno.h>
#include <glib-unix.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace comfreyshift {

namespace {

constexpr int kListenBacklog = 512;
constexpr size_t kMaxPieces = 64;

int NewSocket(const SocketAddress& address) {
  int fd = -1;
  KJ_SYSCALL(fd = socket(address.family(),
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

// Holds the promise end of one wait for a descriptor.
struct FdWait {
  kj::Own<kj::PromiseFulfiller<void>> m_fulfiller;
  guint m_source = 0;

  static gboolean OnReady(gint /*fd*/, GIOCondition, gpointer data) {
    auto* wait = static_cast<FdWait*>(data);
    wait->m_source = 0;
    wait->m_fulfiller->fulfill();
    return G_SOURCE_REMOVE;
  }
  ~FdWait() {
    if (m_source != 0) {
      g_source_remove(m_source);
    }
  }
};

kj::Promise<void> WaitForFd(int fd, GIOCondition condition) {
  auto paf = kj::newPromiseAndFulfiller<void>();
  auto wait = kj::heap<FdWait>();
  wait->m_fulfiller = kj::mv(paf.fulfiller);
  wait->m_source = g_unix_fd_add_full(G_PRIORITY_DEFAULT, fd, condition,
                                      &FdWait::OnReady, wait.get(), nullptr);
  return paf.promise.attach(kj::mv(wait));
}

bool MustWait(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

GlibStream::GlibStream(int fd) : m_fd(fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

GlibStream::~GlibStream() noexcept(false) {
  ::close(m_fd);
}

kj::Promise<kj::Own<GlibStream>> GlibStream::Connect(const Address& address) {
  const SocketAddress to = SocketAddress::From(address);
  const int fd = NewSocket(to);
  auto stream = kj::heap<GlibStream>(fd);
  const int result = connect(fd, to.get(), to.m_length);
  if (result == 0) {
    return kj::mv(stream);
  }
  if (errno != EINPROGRESS) {
    return KJ_EXCEPTION(DISCONNECTED, "connect failed", strerror(errno));
  }
  return WaitForFd(fd, G_IO_OUT).then([fd, stream = kj::mv(stream)]() mutable {
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
      kj::throwFatalException(
          KJ_EXCEPTION(DISCONNECTED, "connect failed", strerror(error)));
    }
    return kj::mv(stream);
  });
}

kj::Promise<void> GlibStream::WaitFor(GIOCondition condition) {
  return WaitForFd(m_fd, condition);
}

kj::Promise<size_t> GlibStream::tryRead(void* buffer,
                                        size_t min_bytes,
                                        size_t max_bytes) {
  return ReadMore(static_cast<kj::byte*>(buffer), min_bytes, max_bytes, 0);
}

kj::Promise<size_t> GlibStream::ReadMore(kj::byte* buffer,
                                         size_t min_bytes,
                                         size_t max_bytes,
                                         size_t done) {
  while (done < min_bytes) {
    const ssize_t count = ::read(m_fd, buffer + done, max_bytes - done);
    if (count > 0) {
      done += static_cast<size_t>(count);
      continue;
    }
    if (count == 0) {
      return done;
    }
    if (!MustWait(errno)) {
      return KJ_EXCEPTION(DISCONNECTED, "read failed", strerror(errno));
    }
    return WaitFor(G_IO_IN).then([this, buffer, min_bytes, max_bytes, done]() {
      return ReadMore(buffer, min_bytes, max_bytes, done);
    });
  }
  return done;
}

kj::Promise<void> GlibStream::write(const void* buffer, size_t size) {
  const auto* bytes = static_cast<const kj::byte*>(buffer);
  while (size > 0) {
    const ssize_t count = send(m_fd, bytes, size, MSG_NOSIGNAL);
    if (count >= 0) {
      bytes += count;
      size -= static_cast<size_t>(count);
      continue;
    }
    if (!MustWait(errno)) {
      return KJ_EXCEPTION(DISCONNECTED, "write failed", strerror(errno));
    }
    return WaitFor(G_IO_OUT).then(
        [this, bytes, size]() { return write(bytes, size); });
  }
  return kj::READY_NOW;
}

kj::Promise<void> GlibStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  std::array<iovec, kMaxPieces> parts;
  const size_t count = std::min(pieces.size(), kMaxPieces);
  for (size_t i = 0; i < count; ++i) {
    parts[i].iov_base = const_cast<kj::byte*>(pieces[i].begin());
    parts[i].iov_len = pieces[i].size();
  }
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = count;
  ssize_t sent = sendmsg(m_fd, &message, MSG_NOSIGNAL);
  if (sent < 0) {
    if (!MustWait(errno)) {
      return KJ_EXCEPTION(DISCONNECTED, "write failed", strerror(errno));
    }
    sent = 0;
  }
  // Skips what was sent whole; the rest of a piece that was cut goes first.
  auto left = static_cast<size_t>(sent);
  size_t next = 0;
  while (next < pieces.size() && left >= pieces[next].size()) {
    left -= pieces[next].size();
    ++next;
  }
  if (next == pieces.size()) {
    return kj::READY_NOW;
  }
  const auto cut = pieces[next].slice(left, pieces[next].size());
  const auto rest = pieces.slice(next + 1, pieces.size());
  auto first = write(cut.begin(), cut.size());
  if (rest.size() == 0) {
    return first;
  }
  return first.then([this, rest]() { return write(rest); });
}

kj::Promise<void> GlibStream::whenWriteDisconnected() {
  return kj::NEVER_DONE;
}

void GlibStream::shutdownWrite() {
  shutdown(m_fd, SHUT_WR);
}

GlibListener::GlibListener(const Address& address, AcceptFunction on_accept)
    : m_on_accept(std::move(on_accept)) {
  const SocketAddress at = SocketAddress::From(address);
  m_fd = NewSocket(at);
  const int on = 1;
  ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  KJ_SYSCALL(bind(m_fd, at.get(), at.m_length), address.ToString().c_str());
  KJ_SYSCALL(listen(m_fd, kListenBacklog));
  m_source = g_unix_fd_add(m_fd, G_IO_IN, &GlibListener::OnReadable, this);
}

GlibListener::~GlibListener() {
  g_source_remove(m_source);
  close(m_fd);
}

gboolean GlibListener::OnReadable(gint fd, GIOCondition, gpointer self) {
  const int accepted =
      accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted >= 0) {
    static_cast<GlibListener*>(self)->m_on_accept(accepted);
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace comfreyshift
