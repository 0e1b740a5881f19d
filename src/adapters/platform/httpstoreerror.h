#pragma once

#include "adapters/http/httpmessage.h"
#include "common/error.h"

namespace Galenahill {

// The error that the failure response of an HTTP object store stands for. Its kind is OutcomeUnknown
// if the call may have taken effect.
Error httpStoreError(const HttpResponse &response);

}
