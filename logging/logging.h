#ifndef LOGGING_LOGGING_H_
#define LOGGING_LOGGING_H_

// Public header of the logging library: one JSON object a line, by log4cplus.

#include "logging/log.h"

#endif  // LOGGING_LOGGING_H_
