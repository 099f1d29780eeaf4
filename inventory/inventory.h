#ifndef INVENTORY_INVENTORY_H_
#define INVENTORY_INVENTORY_H_

// Public header of the inventory library: what operators declare, and what it
// allows.

#include "inventory/model.h"

#endif  // INVENTORY_INVENTORY_H_
