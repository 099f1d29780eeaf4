#ifndef RPC_GLIB_STREAM_H_
#define RPC_GLIB_STREAM_H_

#include <glib.h>
#include <kj/async-io.h>

#include <functional>

#include "core/core.h"

namespace comfreyshift {

// A TCP connection as a kj stream that waits on the GLib main loop.
class GlibStream final : public kj::AsyncIoStream {
 public:
  // Takes over `fd`, a connected or connecting non-blocking socket.
  explicit GlibStream(int fd);
  ~GlibStream() noexcept(false);
  KJ_DISALLOW_COPY(GlibStream);

  // Starts a connection to `address`. The promise fails when it is refused.
  static kj::Promise<kj::Own<GlibStream>> Connect(const Address& address);

  kj::Promise<size_t> tryRead(void* buffer,
                              size_t min_bytes,
                              size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

 private:
  kj::Promise<size_t> ReadMore(kj::byte* buffer,
                               size_t min_bytes,
                               size_t max_bytes,
                               size_t done);
  kj::Promise<void> WaitFor(GIOCondition condition);

  int m_fd;
};

// Listens on an address and hands over each accepted socket.
class GlibListener {
 public:
  using AcceptFunction = std::function<void(int fd)>;

  // Throws kj::Exception when the address cannot be bound.
  GlibListener(const Address& address, AcceptFunction on_accept);
  ~GlibListener();
  GlibListener(const GlibListener&) = delete;
  GlibListener& operator=(const GlibListener&) = delete;

 private:
  static gboolean OnReadable(gint fd, GIOCondition condition, gpointer self);

  int m_fd = -1;
  guint m_source = 0;
  AcceptFunction m_on_accept;
};

}  // namespace comfreyshift

#endif  // RPC_GLIB_STREAM_H_
