#pragma once

#include "core/fleet/memberrecord.h"
#include "core/quarantine/requestdigest.h"

#include <vector>

namespace Galenahill {

// The one target that may run a suspected request, the same at all nodes that know the same targets, so that copies of
// the request don't run at several targets. Targets that ended under the request come last. Null if there is no target.
const MemberRecord *targetForSuspect(RequestDigest digest, const std::vector<MemberRecord> &targets, const std::vector<NodeName> &ended);

}
