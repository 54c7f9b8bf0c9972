/// The public header of the protocol library: the formats in which the project talks to callers,
/// operators, runners, workers, the platform and its own entry hosts.
#ifndef CROCUSWIND_PROTOCOL_PROTOCOL_H
#define CROCUSWIND_PROTOCOL_PROTOCOL_H

#include "peer_codec.h"

#endif
