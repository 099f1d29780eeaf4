#ifndef STORE_STORE_H_
#define STORE_STORE_H_

// Public header of the store library: the client of the platform's key-value
// store, and edits of the configuration through it.

#include "store/client.h"
#include "store/edit_runner.h"
#include "store/error.h"

#endif  // STORE_STORE_H_
