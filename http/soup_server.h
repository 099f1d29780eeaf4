#ifndef HTTP_SOUP_SERVER_H_
#define HTTP_SOUP_SERVER_H_

#include <libsoup/soup.h>

#include <cstddef>

namespace comfreyshift {

// One server object of libsoup 3.2, made to serve connections that others have
// accepted. It keeps what it accepted until it is destroyed when a client
// closed its connection at the wrong moment, so it is to be replaced after some
// time.
class SoupServerHandle {
 public:
  SoupServerHandle();
  // Breaks the connections that it serves; not to be called from its signals.
  ~SoupServerHandle();
  SoupServerHandle(const SoupServerHandle&) = delete;
  SoupServerHandle& operator=(const SoupServerHandle&) = delete;

  SoupServer* get() const { return m_server; }
  // Serves the next request of a connection.
  void Accept(GIOStream* stream, GSocketAddress* local, GSocketAddress* remote);
  // Whether it has accepted so often that another should take its place.
  bool is_used_up() const;

 private:
  SoupServer* m_server;
  size_t m_accepted = 0;
};

// Whether both sides are willing to go on with a connection after an answer.
bool KeepsAlive(SoupServerMessage* message);

// Whether bytes that have arrived wait to be read from a stream.
bool HasInput(GIOStream* stream);

}  // namespace comfreyshift

#endif  // HTTP_SOUP_SERVER_H_
