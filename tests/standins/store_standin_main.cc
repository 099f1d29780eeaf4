#include <glib-unix.h>

#include <charconv>
#include <cstdio>
#include <string_view>

#include "tests/standins/store_standin.h"

namespace {

gboolean Quit(gpointer loop) {
  g_main_loop_quit(static_cast<GMainLoop*>(loop));
  return G_SOURCE_CONTINUE;
}

}  // namespace

// usage: store_standin PORT
// Serves on 127.0.0.1 and prints the address; port 0 takes a free one.
int main(int argc, char** argv) {
  uint16_t port = 0;
  std::string_view text = argc == 2 ? argv[1] : "";
  auto parsed = std::from_chars(text.data(), text.data() + text.size(), port);
  if (text.empty() || parsed.ec != std::errc() ||
      parsed.ptr != text.data() + text.size()) {
    std::fputs("usage: store_standin PORT\n", stderr);
    return 2;
  }
  comfreyshift::StoreStandin standin;
  if (!standin.Listen(port)) {
    std::fprintf(stderr, "cannot listen on 127.0.0.1:%u\n", port);
    return 1;
  }
  std::printf("%s\n", standin.Url().c_str());
  std::fflush(stdout);
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, &Quit, loop);
  g_unix_signal_add(SIGINT, &Quit, loop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  return 0;
}
