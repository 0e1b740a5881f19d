#pragma once

#include "httptest.h"

#include <string>

namespace Galenahill {

// What the caller of a node received for a call.
struct Answer
{
    std::string id;
    // Zero if the connection ended first.
    int status = 0;
    bool complete = false;
    bool notRun = false;
};

// Reads a response of stated length.
inline Answer readAnswer(RawClient &caller, const std::string &id)
{
    Answer answer{.id = id};
    const auto header = caller.readTo("\r\n\r\n");
    const std::string lengthField = "Content-Length: ";
    const auto length = header.find(lengthField);
    if (length == std::string::npos) {
        return answer;
    }
    answer.status = std::stoi(header.substr(header.find(' ')));
    answer.notRun = header.find("Galenahill-Outcome: not-run\r\n") != std::string::npos;
    answer.complete = caller.skip(std::stoul(header.substr(length + lengthField.size())));
    return answer;
}

}
