/// The public header of the protocol library: bodies of the usual protocols, encoded and parsed.
#ifndef CROCUSWIND_PROTOCOL_PROTOCOL_H
#define CROCUSWIND_PROTOCOL_PROTOCOL_H

#include "worker_bodies.h"

#endif
