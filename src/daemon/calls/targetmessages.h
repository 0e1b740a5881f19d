#pragma once

#include "adapters/http/httpmessage.h"
#include "core/calls/admissioncontroller.h"
#include "core/calls/callheadernames.h"
#include "core/calls/responseclass.h"
#include "daemon/calls/slotqueue.h"

#include <string>

namespace Galenahill {

// The request to the target with that id, for the request that an ingress forwarded.
HttpRequest targetRequest(HttpRequest request, const SlotCall &call, const CallHeaderNames &headerNames, const std::string &targetId);

// Classifies the target's response.
ResponseClass classOf(const HttpResponse &response, const CallHeaderNames &headerNames);

// Why a call with that response of the target releases its slot.
AdmissionController::ReleaseReason releaseReasonOf(const HttpResponse &response, ResponseClass responseClass, const CallHeaderNames &headerNames);

// The response to the ingress for the target's response.
HttpResponse ingressResponse(HttpResponse response, ResponseClass responseClass, const CallHeaderNames &headerNames);

}
