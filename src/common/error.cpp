#include "common/error.h"

namespace Galenahill {

tl::unexpected<Error> failure(ErrorKind kind, std::string message)
{
    return tl::unexpected<Error>(Error{kind, std::move(message)});
}

std::string toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Invalid:
        return "invalid";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorKind::Corrupt:
        return "corrupt";
    }
    return "invalid";
}

}
