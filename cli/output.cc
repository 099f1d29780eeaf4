#include "cli/output.h"

#include <algorithm>

namespace comfreyshift {

namespace {

constexpr const char* kColumnGap = "  ";
constexpr const char* kEraseLine = "\r\x1b[K";

char ToUpper(char c) {
  return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
}

std::vector<size_t> Widths(const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths(rows.front().size(), 0);
  for (const std::vector<std::string>& row : rows) {
    for (size_t i = 0; i < widths.size() && i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

}  // namespace

Table::Table(std::vector<std::string> titles) {
  for (std::string& title : titles) {
    std::ranges::transform(title, title.begin(), ToUpper);
  }
  m_rows.push_back(std::move(titles));
}

void Table::AddRow(std::vector<std::string> cells) {
  m_rows.push_back(std::move(cells));
}

std::string Table::ToString() const {
  const std::vector<size_t> widths = Widths(m_rows);
  std::string text;
  for (const std::vector<std::string>& row : m_rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += (i == 0 ? "" : kColumnGap) + row[i];
      line.append(widths[i] - row[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

ProgressLine::ProgressLine(const Terminal& terminal) : m_terminal(terminal) {}

ProgressLine::~ProgressLine() {
  if (m_is_shown) {
    m_terminal.m_error << kEraseLine << std::flush;
  }
}

void ProgressLine::Update(const std::string& text) {
  if (m_terminal.m_is_interactive) {
    m_terminal.m_error << kEraseLine << text << std::flush;
    m_is_shown = true;
  }
}

}  // namespace comfreyshift
