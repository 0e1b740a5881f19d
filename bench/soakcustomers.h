#pragma once

#include "loadgenerator.h"
#include "sampledocument.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Galenahill::SoakCustomers {

// Text that each key contains, by which targets find keys that reach them.
inline constexpr const char *KeyMarker = "soak-key-";

// Sent by callers of every customer but known to none.
inline constexpr const char *UnknownKey = "soak-key-unknown";

// Revoked by every revision after the first.
inline constexpr const char *RevokedKey = "soak-key-dos-old";

// A key that every revision has.
inline constexpr const char *ValidKey = "soak-key-uno-a";

// Path of a route that some revisions do not have.
inline constexpr const char *TemporaryPath = "/vaiven/1";

// Path of the longest responses.
inline constexpr const char *LargestPath = "/descarga/1?bytes=540000";

// Path of the calls that targets make, on a route that needs no key.
inline constexpr const char *NestedPath = "/abierto/1?bytes=20000";

bool hasTemporaryRoute(int revision);

// Routes of the revision: each has one that no other has, and the timeout of one route changes.
std::vector<SampleRoute> routes(int revision);

// Least timeout of any revision, by the path of a call.
std::map<std::string, Milliseconds> routeTimeouts();

// Customers in the configuration of that revision. They have no limits.
std::vector<SampleCustomer> customers(int revision);

// Calls of the customers and of callers that must be rejected.
std::vector<LoadGenerator::CallKind> callKinds();

// Name of the customer of each key, also of the revoked one.
std::map<std::string, std::string> customerOfKey();

// Whether a node at the last revision accepts a call of these kinds with the key.
bool isAccepted(const CallRecord &call);

}
