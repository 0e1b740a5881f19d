#pragma once

#include "daemon/platformnode.h"

#include <string>

namespace Galenahill {

// Runs a node as a process until a signal stops it: SIGTERM and SIGINT begin a planned
// stop, SIGHUP reads the settings file at `path` again. Returns only if the node cannot
// start, with the exit code. Fills in the settings and the log of the options.
int runPlatformNode(const PlatformNodeSettings &settings, const std::string &path, PlatformNode::Options options);

}
