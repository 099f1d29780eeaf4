#ifndef STORE_GOBJECT_H_
#define STORE_GOBJECT_H_

#include <glib-object.h>

#include <memory>

namespace comfreyshift {

struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

// An owned reference to a GObject.
template <class T>
using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

struct GErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

struct GBytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using GBytesPtr = std::unique_ptr<GBytes, GBytesUnref>;

}  // namespace comfreyshift

#endif  // STORE_GOBJECT_H_
