#pragma once

#include "adapters/http/httpmessage.h"
#include "core/calls/targetload.h"

#include <optional>
#include <string>

namespace Galenahill {

// Removes the fields that belong to one connection and those that only nodes
// may set, so that neither a caller nor a target can forge them.
void stripFields(http::fields &fields);

// The final answer to a call that certainly didn't run, with the time after
// which to come back.
HttpResponse notRunResponse(http::status status, const std::string &kind, const std::string &message);

// The final answer to a call that may have run.
HttpResponse outcomeUnknownResponse(const std::string &message);

// The time left by the header of that call, or nothing if it has none or it
// isn't a number.
std::optional<std::int64_t> timeoutHeader(const HttpRequest &request);

// The load in a sidecar's answer; nothing if it isn't there or malformed.
std::optional<TargetLoad> loadHeader(const HttpResponse &response);
std::string formatLoad(TargetLoad load);

// Whether the answer says that the call didn't run, or may have run.
bool saysNotRun(const HttpResponse &response);
bool saysOutcomeUnknown(const HttpResponse &response);

}
