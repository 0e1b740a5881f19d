#pragma once

#include "daemon/platformnode.h"

#include <string>

namespace Galenahill {

// Runs a node as a process until a signal stops it: SIGTERM and SIGINT begin a planned
// stop, SIGHUP reads the settings file at `path` again. Doesn't return unless the node
// can't start; then it gives the exit code. Settings and log of the options are filled
// in here.
int runPlatformNode(const PlatformNodeSettings &settings, const std::string &path, PlatformNode::Options options);

}
