// Checks what real processes did, from the targets' own records of starts and
// the callers' history of answers.
//
// usage: history_checker RECORD_DIR HISTORY_FILE
//
// Prints one JSON object with counts; exits with 1 when a rule is broken:
//   - no task of a key starts twice;
//   - a complete answer has one answer for each task, and each task started;
//   - a key that was answered "not run" for the whole submission never starts;
//   - two answers to one key do not contradict each other.

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace {

using Json = nlohmann::json;

struct JobHistory {
  std::map<std::string, int> m_starts;
  uint64_t m_tasks = 0;
  bool m_complete = false;
  bool m_failed = false;
  bool m_unknown = false;
  bool m_not_run = false;
  bool m_lost = false;
  std::string m_reason;
};

class Checker {
 public:
  void ReadRecords(const std::filesystem::path& file) {
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
      const Json record = Json::parse(line, nullptr, false);
      if (!record.is_object()) {
        continue;
      }
      const auto task = record.at("task").get<std::string>();
      const size_t slash = task.find('/');
      ++m_jobs[task.substr(0, slash)].m_starts[task.substr(slash + 1)];
      ++m_starts;
    }
  }

  void ReadHistory(const std::filesystem::path& file) {
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
      const Json answer = Json::parse(line, nullptr, false);
      if (answer.is_object()) {
        Take(answer);
      }
    }
  }

  void Check() {
    for (const auto& [key, job] : m_jobs) {
      for (const auto& [task, starts] : job.m_starts) {
        if (starts > 1) {
          Break(key, "task " + task + " started " + std::to_string(starts) +
                         " times");
        }
      }
      if (job.m_complete && job.m_starts.size() != job.m_tasks) {
        Break(key, "answered complete with " +
                       std::to_string(job.m_starts.size()) + " of " +
                       std::to_string(job.m_tasks) + " tasks started");
      }
      if (job.m_not_run && !job.m_starts.empty()) {
        Break(key, "answered not run, but " +
                       std::to_string(job.m_starts.size()) + " tasks started");
      }
      if (job.m_not_run + job.m_complete + job.m_failed > 1) {
        Break(key, "has answers that contradict each other");
      }
      Count(job);
    }
  }

  int Report() const {
    const Json report = {{"jobs", m_jobs.size()},
                         {"starts", m_starts},
                         {"outcomes", m_outcomes},
                         {"violations", m_violations}};
    std::cout << report.dump() << '\n';
    return m_violations == 0 ? 0 : 1;
  }

 private:
  void Take(const Json& answer) {
    JobHistory& job = m_jobs[answer.at("key").get<std::string>()];
    job.m_tasks = answer.at("tasks").get<uint64_t>();
    const auto outcome = answer.at("outcome").get<std::string>();
    if (!answer.at("answered").get<bool>()) {
      job.m_lost = true;
    } else if (outcome == "complete") {
      job.m_complete = true;
      if (answer.at("answers").get<uint64_t>() != job.m_tasks) {
        Break(answer.at("key").get<std::string>(),
              "complete answer is partial");
      }
    } else if (outcome == "not_run") {
      job.m_not_run |= answer.at("covers_submission").get<bool>();
    } else if (outcome == "failed") {
      job.m_failed = true;
    } else {
      job.m_unknown = true;
    }
    job.m_reason = answer.at("reason").get<std::string>();
  }

  void Count(const JobHistory& job) {
    if (job.m_complete) {
      ++m_outcomes["complete"];
    } else if (job.m_not_run) {
      ++m_outcomes["not_run " + job.m_reason];
    } else if (job.m_unknown) {
      ++m_outcomes["unknown"];
    } else if (job.m_failed) {
      ++m_outcomes["failed " + job.m_reason];
    } else {
      ++m_outcomes["no answer"];
    }
  }

  void Break(const std::string& key, const std::string& what) {
    ++m_violations;
    std::cerr << key << ": " << what << '\n';
  }

  std::map<std::string, JobHistory> m_jobs;
  std::map<std::string, uint64_t> m_outcomes;
  uint64_t m_starts = 0;
  uint64_t m_violations = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fputs("usage: history_checker RECORD_DIR HISTORY_FILE\n", stderr);
    return 2;
  }
  Checker checker;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
    if (entry.path().extension() == ".records") {
      checker.ReadRecords(entry.path());
    }
  }
  checker.ReadHistory(argv[2]);
  checker.Check();
  return checker.Report();
}
