#include "http/head_shape.h"

#include <cstring>

namespace comfreyshift {

namespace {

// A field is an array element and two allocations.
constexpr size_t kFieldBytes = 100;
// libsoup keeps the text of the head as well, in a buffer that grows by
// doubling.
constexpr size_t kTextFactor = 3;

}  // namespace

HeadShape MeasureHead(SoupMessageHeaders* headers) {
  HeadShape shape;
  SoupMessageHeadersIter iterator;
  soup_message_headers_iter_init(&iterator, headers);
  const char* name = nullptr;
  const char* value = nullptr;
  while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
    ++shape.m_fields;
    shape.m_bytes += std::strlen(name) + std::strlen(value);
  }
  shape.m_held = shape.m_fields * kFieldBytes + shape.m_bytes * kTextFactor;
  return shape;
}

}  // namespace comfreyshift
