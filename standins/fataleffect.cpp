#include "fataleffect.h"

#include <cstdlib>
#include <unistd.h>

namespace Galenahill {

namespace {

constexpr unsigned WatchdogSeconds = 1;

}

FatalEffect fatalEffectOf(std::string_view path)
{
    if (path.find("abort") != std::string_view::npos) {
        return FatalEffect::Abort;
    }
    return path.find("hang") != std::string_view::npos ? FatalEffect::Hang : FatalEffect::Exit;
}

void endProcess(FatalEffect effect)
{
    switch (effect) {
    case FatalEffect::Exit:
        break;
    case FatalEffect::Abort:
        std::abort();
    case FatalEffect::Hang:
        alarm(WatchdogSeconds);
        for (;;) {
            pause();
        }
    }
    _exit(1);
}

}
