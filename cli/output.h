#ifndef CLI_OUTPUT_H_
#define CLI_OUTPUT_H_

#include <ostream>
#include <string>
#include <vector>

namespace comfreyshift {

// Where a command prints: results to `m_out`, messages to `m_error`.
struct Terminal {
  std::ostream& m_out;
  std::ostream& m_error;
  // Whether `m_error` is a terminal, on which progress may be shown.
  bool m_is_interactive = false;
};

// Lines up columns for people. Cells are taken as ASCII.
class Table {
 public:
  explicit Table(std::vector<std::string> titles);

  // Adds a row, which must have as many cells as there are titles.
  void AddRow(std::vector<std::string> cells);

  // Returns the titles in upper case and all rows, with two blanks between
  // columns and none at the ends of lines.
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

// One line on an interactive terminal that is rewritten with each update, and
// nothing elsewhere. The destructor removes it.
class ProgressLine {
 public:
  explicit ProgressLine(const Terminal& terminal);
  ~ProgressLine();
  ProgressLine(const ProgressLine&) = delete;
  ProgressLine& operator=(const ProgressLine&) = delete;

  void Update(const std::string& text);

 private:
  const Terminal& m_terminal;
  bool m_is_shown = false;
};

}  // namespace comfreyshift

#endif  // CLI_OUTPUT_H_
