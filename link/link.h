#ifndef LINK_LINK_H_
#define LINK_LINK_H_

// Public header of the link library: the messages between entries and agents,
// their encoding, and the connections that carry them on the GLib main loop.

#include "link/admission.h"
#include "link/codec.h"
#include "link/messages.h"
#include "link/session.h"

#endif  // LINK_LINK_H_
