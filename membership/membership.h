#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

// Public header of the membership library: who is alive, and whether this
// process may act on the configuration it holds.

#include "membership/member.h"

#endif  // MEMBERSHIP_MEMBERSHIP_H_
