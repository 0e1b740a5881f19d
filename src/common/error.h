#pragma once

#include <string>
#include <tl/expected.hpp>

namespace Galenahill {

enum class ErrorKind {
    // The caller's input is wrong; the message says where and how to fix it.
    Invalid,
    // The requested object doesn't exist.
    NotFound,
    // Another writer was first; nothing was changed.
    Conflict,
    // Nothing was changed; trying again later may succeed.
    Unavailable,
    // It is unknown whether the operation took effect.
    OutcomeUnknown,
    // Stored or received data can't be decoded.
    Corrupt,
};

// A failure, with a kind for programs and a message for people. The message says where the error
// is, what it is, and how to fix it.
struct Error
{
    ErrorKind kind = ErrorKind::Invalid;
    std::string message;
};

template <typename Value>
using Result = tl::expected<Value, Error>;

// Shorthand for returning a failure from a function that returns a Result.
tl::unexpected<Error> failure(ErrorKind kind, std::string message);

// The kind's name as used in logs and JSON, such as "outcome-unknown".
std::string toString(ErrorKind kind);

}
