#ifndef HTTP_ERROR_H_
#define HTTP_ERROR_H_

#include <cstdint>
#include <string>

namespace comfreyshift {

enum class HttpErrorCode : uint8_t {
  // The address cannot be listened on.
  kListen,
  // A certificate, key or authority file cannot be used.
  kTls,
  // The URL cannot be read.
  kUrl,
};

// Why a server or client cannot be set up. The detail comes from GLib.
struct HttpError {
  HttpErrorCode m_code;
  std::string m_detail;
};

}  // namespace comfreyshift

#endif  // HTTP_ERROR_H_
