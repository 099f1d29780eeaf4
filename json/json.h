#ifndef JSON_JSON_H_
#define JSON_JSON_H_

// Public header of the json library: parses untrusted JSON with limits on
// nesting and number ranges, and serializes it.

#include "json/parse.h"

#endif  // JSON_JSON_H_
