#pragma once

#include "common/strongtype.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Galenahill {

// Names given by operators or settings, and the version of a target's software.
using ServiceName = StrongType<std::string, struct ServiceNameTag>;
using RouteName = StrongType<std::string, struct RouteNameTag>;
using DataCentre = StrongType<std::string, struct DataCentreTag>;
using TargetVersion = StrongType<std::string, struct TargetVersionTag>;
using NodeName = StrongType<std::string, struct NodeNameTag>;
using FileName = StrongType<std::string, struct FileNameTag>;

// Number of an accepted configuration; grows by at least one with each
// acceptance. Zero means that nothing has been accepted.
using Revision = StrongType<std::uint64_t, struct RevisionTag>;

// Hash of a content, in hexadecimal digits.
using ContentHash = StrongType<std::string, struct ContentHashTag>;

// Chosen by the operator's client for one apply, so that a lost answer can be
// settled by looking the id up.
using ApplyId = StrongType<std::string, struct ApplyIdTag>;

// Version that the platform's store gives to an object. Zero: no such object.
using ObjectVersion = StrongType<std::uint64_t, struct ObjectVersionTag>;

// Names a call on its way from the ingress to the target.
using CallId = StrongType<std::string, struct CallIdTag>;

using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

}
