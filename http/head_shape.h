#ifndef HTTP_HEAD_SHAPE_H_
#define HTTP_HEAD_SHAPE_H_

#include <libsoup/soup.h>

#include <cstddef>

namespace comfreyshift {

// The size of a request's head.
struct HeadShape {
  size_t m_fields = 0;
  // Names and values.
  size_t m_bytes = 0;
  // Estimate of the memory that libsoup uses for it.
  size_t m_held = 0;
};

HeadShape MeasureHead(SoupMessageHeaders* headers);

}  // namespace comfreyshift

#endif  // HTTP_HEAD_SHAPE_H_
