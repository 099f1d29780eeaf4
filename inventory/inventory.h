#ifndef INVENTORY_INVENTORY_H_
#define INVENTORY_INVENTORY_H_

// Public header of the inventory library: what operators declare, and what it
// allows.

#include "inventory/diff.h"
#include "inventory/error.h"
#include "inventory/ini.h"
#include "inventory/model.h"
#include "inventory/record.h"

#endif  // INVENTORY_INVENTORY_H_
