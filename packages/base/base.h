/// The public header of the base library: time, identifiers, findings, random numbers, store values
/// and trace contexts. It does no I/O, and every other package depends on it.
#ifndef CROCUSWIND_BASE_BASE_H
#define CROCUSWIND_BASE_BASE_H

#include "cbor_bounds.h"
#include "findings.h"
#include "identifiers.h"
#include "instant.h"
#include "invariant.h"
#include "random_source.h"
#include "resources.h"
#include "store_operation.h"
#include "trace_context.h"

#endif
