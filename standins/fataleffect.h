#pragma once

#include <string_view>

namespace Galenahill {

// How a call ends the process of the target that runs it.
enum class FatalEffect {
    // The process exits with code 1.
    Exit,
    // The process aborts.
    Abort,
    // The process stops responding until a watchdog ends it after a second.
    Hang,
};

// The effect that the path names: "abort", "hang", or any other text for an exit.
FatalEffect fatalEffectOf(std::string_view path);

// Ends this process; doesn't return.
[[noreturn]] void endProcess(FatalEffect effect);

}
