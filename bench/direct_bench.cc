// Calls a target directly at a fixed rate, as the baseline for the latency that
// the whole path adds. Prints one JSON object.
//
// usage: direct_bench URL RATE SECONDS

#include <glib.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

#include "core/core.h"
#include "http/http.h"

namespace comfreyshift {
namespace {

double ToMs(Microseconds value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

int Run(const std::string& url, double rate, double seconds) {
  HttpClientOptions options;
  options.m_base_url = url;
  auto client = HttpClient::Make(options);
  if (!client) {
    std::fprintf(stderr, "%s\n", client.error().m_detail.c_str());
    return 1;
  }
  Histogram latency;
  uint64_t failed = 0;
  const auto calls = static_cast<uint64_t>(rate * seconds);
  MonoTime next = BootClock::now();
  for (uint64_t i = 0; i < calls; ++i) {
    next += Microseconds(static_cast<int64_t>(1e6 / rate));
    while (BootClock::now() < next) {
      g_usleep(100);
    }
    HttpCall call;
    call.m_path = "/run/visit";
    call.m_body = R"({"run_ms": 0})";
    call.m_deadline = next + std::chrono::seconds(5);
    const auto result = client.value()->SendAndWait(std::move(call));
    if (!result || result.value().m_status != 200) {
      ++failed;
    }
    latency.Record(BootClock::now() - next);
  }
  std::printf(
      "{\"bench\":\"direct\",\"calls\":%llu,\"failed\":%llu,\"p50_ms\":%.3f,"
      "\"p99_ms\":%.3f}\n",
      static_cast<unsigned long long>(calls),
      static_cast<unsigned long long>(failed), ToMs(latency.Quantile(0.5)),
      ToMs(latency.Quantile(0.99)));
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace comfreyshift

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fputs("usage: direct_bench URL RATE SECONDS\n", stderr);
    return 2;
  }
  return comfreyshift::Run(argv[1], std::atof(argv[2]), std::atof(argv[3]));
}
