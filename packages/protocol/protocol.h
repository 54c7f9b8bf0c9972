/// The public header of the protocol library: formats of files and bodies that the parts exchange.
/// It parses and formats text and bytes and has no I/O.
#ifndef CROCUSWIND_PROTOCOL_PROTOCOL_H
#define CROCUSWIND_PROTOCOL_PROTOCOL_H

#include "workload_checks.h"
#include "workload_file.h"

#endif
