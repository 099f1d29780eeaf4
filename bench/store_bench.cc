// Measures the store client against a running store and the configuration
// replica in memory.
//
// usage: store_bench client URL CALLS CONCURRENT
//        store_bench replica TARGETS CHANGES

#include <glib.h>
#include <malloc.h>
#include <sys/resource.h>

#include <charconv>
#include <cstdio>
#include <functional>
#include <string>

#include "config/config.h"
#include "core/core.h"
#include "store/store.h"

namespace comfreyshift {
namespace {

using namespace std::chrono_literals;

// Time of this process on the processor, in user and system mode.
Microseconds ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto time = [](const timeval& value) {
    return std::chrono::seconds(value.tv_sec) + Microseconds(value.tv_usec);
  };
  return time(usage.ru_utime) + time(usage.ru_stime);
}

size_t HeapBytes() {
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double Seconds(Microseconds time) {
  return std::chrono::duration<double>(time).count();
}

// Keeps a number of calls in progress until all are made.
class Load {
 public:
  using Call = std::function<
      void(StoreClient& client, int number, std::function<void(bool)> done)>;

  Load(std::shared_ptr<StoreClient> client, int calls, Call call)
      : m_client(std::move(client)), m_left(calls), m_call(std::move(call)) {}

  void Run(const char* name, int concurrent) {
    MonoTime start = BootClock::now();
    Microseconds processor = ProcessorTime();
    int calls = m_left;
    for (int i = 0; i < concurrent; ++i) {
      Next();
    }
    while (m_running > 0) {
      g_main_context_iteration(nullptr, TRUE);
    }
    Microseconds elapsed = BootClock::now() - start;
    processor = ProcessorTime() - processor;
    std::printf(
        "%-8s %d calls, %d at once: %.0f calls/s, CPU %.0f us/call, "
        "p50 %lld us, p99 %lld us, %d failed\n",
        name, calls, concurrent, calls / Seconds(elapsed),
        1e6 * Seconds(processor) / calls,
        static_cast<long long>(m_times.Quantile(0.5).count()),
        static_cast<long long>(m_times.Quantile(0.99).count()), m_failed);
  }

 private:
  void Next() {
    if (m_left == 0) {
      return;
    }
    --m_left;
    ++m_running;
    MonoTime sent = BootClock::now();
    m_call(*m_client, m_left, [this, sent](bool ok) {
      m_times.Record(BootClock::now() - sent);
      m_failed += ok ? 0 : 1;
      --m_running;
      Next();
    });
  }

  std::shared_ptr<StoreClient> m_client;
  int m_left = 0;
  int m_running = 0;
  int m_failed = 0;
  Histogram m_times;
  Call m_call;
};

CallOptions Options() {
  return {.m_deadline = BootClock::now() + 10s};
}

std::string TargetKey(int number) {
  return std::string(kInventoryPrefix) + "target/agent-" +
         std::to_string(number);
}

// About as long as a target's record.
std::string TargetValue(int number) {
  return R"({"address":"10.20.)" + std::to_string(number % 200) + "." +
         std::to_string(number % 250) +
         R"(:7400","zone":"zona-norte","rack":"rack-)" +
         std::to_string(number / 3) +
         R"(","slots":8,"connections":64,"clients":["obras","agua"],)"
         R"("state":"in-service"})";
}

void MeasureClient(const std::string& url, int calls, int concurrent) {
  StoreSettings settings;
  settings.m_url = url;
  settings.m_attempt_timeout = 10s;
  settings.m_budget = {.m_calls_per_second = 1e6, .m_burst = 1e6};
  auto client = StoreClient::Create(settings);
  auto put = [](StoreClient& store, int number,
                const std::function<void(bool)>& done) {
    store.Put(
        {.m_key = TargetKey(number % 100), .m_value = TargetValue(number)},
        Options(), [done](const Result<PutReply, StoreError>& reply) {
          done(static_cast<bool>(reply));
        });
  };
  auto head = [](StoreClient& store, int /*number*/,
                 const std::function<void(bool)>& done) {
    store.Range(HeadRequest(), Options(),
                [done](const Result<RangeReply, StoreError>& reply) {
                  done(static_cast<bool>(reply));
                });
  };
  auto edit = [&client](StoreClient& /*store*/, int number,
                        const std::function<void(bool)>& done) {
    // A new id and key for each run against the same store.
    auto now =
        static_cast<uint64_t>(BootClock::now().time_since_epoch().count());
    WallTime time = WallNow();
    Edit request{.m_id = SubmissionKey::Make(time, now, number).ToString(),
                 .m_actor = "bench",
                 .m_time = time,
                 .m_changes = {{TargetKey(number) + "-" + std::to_string(now),
                                0, TargetValue(number)}}};
    auto started = RunEdit(client, request, BootClock::now() + 10s, nullptr,
                           [done](const EditOutcome& outcome) {
                             done(std::holds_alternative<EditApplied>(outcome));
                           });
    if (!started) {
      std::fprintf(stderr, "%s\n", started.assume_error().m_message.c_str());
    }
  };
  Load(client, calls, put).Run("put", concurrent);
  Load(client, calls, head).Run("head", concurrent);
  Load(client, calls / 4, edit).Run("edit", concurrent);
}

ConfigChanges Snapshot(int targets) {
  ConfigChanges snapshot;
  for (int i = 0; i < targets; ++i) {
    Revision revision = static_cast<Revision>(i) + 1;
    snapshot.m_entries.push_back({TargetKey(i), TargetValue(i), revision});
  }
  snapshot.m_revision = static_cast<Revision>(targets);
  return snapshot;
}

void MeasureReplica(int targets, int changes) {
  ConfigChanges snapshot = Snapshot(targets);
  size_t heap = HeapBytes();
  ConfigReplica replica;
  MonoTime start = BootClock::now();
  bool ok = static_cast<bool>(replica.Apply(snapshot));
  std::printf("snapshot of %d targets: %.2f ms, %.0f KB (%.0f B per key)\n",
              targets, 1e3 * Seconds(BootClock::now() - start),
              (HeapBytes() - heap) / 1e3,
              static_cast<double>(HeapBytes() - heap) / targets);
  start = BootClock::now();
  for (int i = 0; i < changes; ++i) {
    Revision since = replica.revision();
    int target = static_cast<int>((i * 7919LL) % targets);
    ConfigChanges change{
        since, since + 1, {{TargetKey(target), TargetValue(i), since + 1}}};
    ok = ok && replica.Apply(change);
  }
  Microseconds applied = BootClock::now() - start;
  std::printf("%d changes one by one: %.2f ms (%.2f us each), %.0f KB held\n",
              changes, 1e3 * Seconds(applied), 1e6 * Seconds(applied) / changes,
              (HeapBytes() - heap) / 1e3);
  start = BootClock::now();
  size_t entries = 0;
  constexpr int kReads = 1000;
  for (int i = 0; i < kReads; ++i) {
    entries += replica.ChangesSince(replica.revision() - 1).m_entries.size();
  }
  std::printf("ChangesSince the revision before: %.1f us\n",
              1e6 * Seconds(BootClock::now() - start) / kReads);
  start = BootClock::now();
  ConfigChanges all = replica.ChangesSince(0);
  std::printf("ChangesSince 0: %.2f ms, %zu keys%s\n",
              1e3 * Seconds(BootClock::now() - start), all.m_entries.size(),
              ok && entries == kReads ? "" : ", FAILED");
}

// Returns 0 for anything but a positive number.
int Number(const char* text) {
  std::string_view digits = text;
  int value = 0;
  auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (parsed.ec != std::errc() || value <= 0) {
    return 0;
  }
  return value;
}

int Main(int argc, char** argv) {
  std::string mode = argc > 1 ? argv[1] : "";
  int first = mode == "client" ? 3 : 2;
  int one = argc == first + 2 ? Number(argv[first]) : 0;
  int two = argc == first + 2 ? Number(argv[first + 1]) : 0;
  if (mode == "client" && one > 0 && two > 0) {
    MeasureClient(argv[2], one, two);
    return 0;
  }
  if (mode == "replica" && one > 0 && two > 0) {
    MeasureReplica(one, two);
    return 0;
  }
  std::fputs(
      "usage: store_bench client URL CALLS CONCURRENT\n"
      "       store_bench replica TARGETS CHANGES\n",
      stderr);
  return 2;
}

}  // namespace
}  // namespace comfreyshift

int main(int argc, char** argv) {
  return comfreyshift::Main(argc, argv);
}
