#ifndef JSON_JSON_H_
#define JSON_JSON_H_

// Public header of the json library: reads JSON that comes from outside, and
// writes it, with bounds on what a text can make the process do.

#include "json/parse.h"

#endif  // JSON_JSON_H_
