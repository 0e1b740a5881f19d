#pragma once

#include "adapters/http/httpmessage.h"
#include "core/calls/callheadernames.h"
#include "core/calls/ignoredfields.h"
#include "ports/logger.h"

#include <string>

namespace Galenahill {

// Reads what a target states about itself in the header fields of its responses.
class TargetStatements
{
public:
    struct Options
    {
        CallHeaderNames headerNames;
        Logger log;
    };

    explicit TargetStatements(Options options);

    // Processes a response that the target itself produced.
    void read(const HttpResponse &response, const std::string &target);

private:
    void logIgnoredFields(const HttpResponse &response, const std::string &target);

    Options m_options;
    IgnoredFields m_ignored;
};

}
