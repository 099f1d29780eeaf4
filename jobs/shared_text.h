#ifndef JOBS_SHARED_TEXT_H_
#define JOBS_SHARED_TEXT_H_

#include <memory>
#include <string>
#include <utility>

namespace comfreyshift {

// A text that never changes and that its copies share.
class SharedText {
 public:
  SharedText() = default;
  // Implicit, so that a text can be given wherever one is shared.
  SharedText(std::string text)  // NOLINT(google-explicit-constructor)
      : m_text(std::make_shared<const std::string>(std::move(text))) {}
  SharedText(const char* text)  // NOLINT(google-explicit-constructor)
      : SharedText(std::string(text)) {}

  const std::string& str() const {
    static const std::string empty;
    return m_text == nullptr ? empty : *m_text;
  }
  // Drops this copy.
  void clear() { m_text.reset(); }

  bool operator==(const SharedText& other) const {
    return str() == other.str();
  }

 private:
  std::shared_ptr<const std::string> m_text;
};

}  // namespace comfreyshift

#endif  // JOBS_SHARED_TEXT_H_
