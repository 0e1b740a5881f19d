#pragma once

#include "common/strongtype.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Galenahill {

// Hash of a request's content: equal for all repeats of a request, whatever their ids, deadlines and connections.
using RequestDigest = StrongType<std::uint64_t, struct RequestDigestTag>;

// What a digest covers.
struct RequestContent
{
    std::string_view method;
    // Without the port; compared without regard to case.
    std::string_view host;
    // Path with the query.
    std::string_view target;
    std::string_view body;
    // Stated length of a body that is streamed, of which only this is covered; zero if it states none.
    std::optional<std::uint64_t> streamedLength;
};

RequestDigest digestOf(const RequestContent &content);

// A digest as it is written in header fields and logs: sixteen hexadecimal digits. Parsing gives nothing for any other
// text.
std::string toString(RequestDigest digest);
std::optional<RequestDigest> parseDigest(std::string_view text);

}
