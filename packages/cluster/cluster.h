/// The public header of the cluster library: which entry hosts exist, which seat a host may use and
/// which configuration is in effect. The library consists of state machines without I/O (see
/// docs/cluster.md).
#ifndef CROCUSWIND_CLUSTER_CLUSTER_H
#define CROCUSWIND_CLUSTER_CLUSTER_H

#include "cluster_types.h"
#include "config_core.h"
#include "config_set.h"
#include "membership_core.h"
#include "membership_types.h"
#include "publish_core.h"
#include "session_core.h"

#endif
