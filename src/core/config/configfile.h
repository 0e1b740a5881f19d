#pragma once

#include "common/identifiers.h"

#include <string>

namespace Galenahill {

// A configuration file as an operator applied it.
struct ConfigFile
{
    FileName name;
    std::string text;

    friend bool operator==(const ConfigFile &, const ConfigFile &) = default;
};

template <typename Inspector>
auto inspect(Inspector &inspector, ConfigFile &file)
{
    return inspector(file.name, file.text);
}

}
