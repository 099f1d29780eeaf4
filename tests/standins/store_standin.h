#ifndef TESTS_STANDINS_STORE_STANDIN_H_
#define TESTS_STANDINS_STORE_STANDIN_H_

#include <libsoup/soup.h>

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/core.h"
#include "tests/standins/store_standin_state.h"

namespace comfreyshift {

// How the stand-in treats calls.
enum class StandinMode {
  kUp,
  // Answers 503 "etcdserver: no leader".
  kRefusing,
  // Closes the connection before anything takes effect.
  kClosing,
  // Never answers and lets nothing take effect.
  kHanging,
};

// HTTP server of the stand-in on 127.0.0.1, on the thread's default main
// context. Besides the store's paths it serves the switches:
//
//   POST /standin/down?how=refuse|close|hang   POST /standin/up
//   POST /standin/slow?ms=N       each answer waits N ms; calls take effect at
//                                 once; 0 ends it
//   POST /standin/lossy?writes=N  the next N writes take effect and get no
//                                 answer
//   POST /standin/lapse-leases    POST /standin/restart
//   GET  /standin/counts          calls received, by path; POST resets them
class StoreStandin {
 public:
  StoreStandin();
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  // Listens on `port`, or on a free one when it is 0. Returns false when the
  // port cannot be bound.
  bool Listen(uint16_t port);
  uint16_t port() const { return m_port; }
  std::string Url() const;

  void SetMode(StandinMode mode);
  void SetDelay(Milliseconds delay) { m_delay = delay; }
  void LoseAnswers(int writes) { m_answers_to_lose = writes; }
  void LapseAllLeases();
  // Closes all connections and listens again on the same port. Data and leases
  // stay, as they do in a store that keeps them on disk.
  bool Restart();

  uint64_t Count(const std::string& path) const;
  StandinState& state() { return m_state; }

 private:
  struct Delayed;
  struct Watcher {
    SoupServerMessage* m_message = nullptr;
    std::string m_key;
    std::string m_range_end;
    size_t m_next_event = 0;
  };

  static void OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer data);
  static void OnFinished(SoupServerMessage* message, gpointer data);
  static gboolean OnTick(gpointer data);
  static gboolean OnDelayOver(gpointer data);

  // libsoup 3.2 keeps the socket of a client that closed its connection between
  // two requests, so these two close it.
  void Track(GSocket* socket);
  void CloseAbandoned();
  void Serve(SoupServerMessage* message, const std::string& path);
  void ServeControl(SoupServerMessage* message,
                    const std::string& name,
                    GHashTable* query);
  void RestartSoon();
  bool Control(const std::string& name, GHashTable* query);
  StandinAnswer Call(const std::string& path, const nlohmann::json& request);
  void Answer(SoupServerMessage* message, StandinAnswer answer);
  void AnswerLater(SoupServerMessage* message, StandinAnswer answer);
  void Hold(SoupServerMessage* message);
  // Reports the end of a message that is held or watches to OnFinished.
  void Follow(SoupServerMessage* message);
  void ForgetMessages();
  void DropWatcher(SoupServerMessage* message);
  void DropHeld(SoupServerMessage* message);
  void StartWatch(SoupServerMessage* message, const nlohmann::json& request);
  void FeedWatchers();
  void Feed(Watcher& watcher);

  SoupServer* m_server = nullptr;
  guint m_tick = 0;
  guint m_restart = 0;
  uint16_t m_port = 0;
  StandinState m_state;
  StandinMode m_mode = StandinMode::kUp;
  Milliseconds m_delay{0};
  int m_answers_to_lose = 0;
  std::map<std::string, uint64_t> m_counts;
  std::list<Watcher> m_watchers;
  std::set<GSocket*> m_sockets;
  // Messages that wait, with the timer of their answer; 0 when none will come.
  std::map<SoupServerMessage*, guint> m_held;
};

}  // namespace comfreyshift

#endif  // TESTS_STANDINS_STORE_STANDIN_H_
