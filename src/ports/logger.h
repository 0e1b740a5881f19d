#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace Galenahill {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// One field of a log event, such as {"revision", 7}.
struct LogField
{
    std::string key;
    std::variant<std::string, std::int64_t, double, bool> value;

    LogField(std::string fieldKey, std::string text)
        : key(std::move(fieldKey))
        , value(std::move(text))
    {
    }
    LogField(std::string fieldKey, const char *text)
        : key(std::move(fieldKey))
        , value(std::string(text))
    {
    }
    LogField(std::string fieldKey, bool flag)
        : key(std::move(fieldKey))
        , value(flag)
    {
    }
    LogField(std::string fieldKey, double number)
        : key(std::move(fieldKey))
        , value(number)
    {
    }
    template <typename Integer>
    requires std::is_integral_v<Integer> LogField(std::string fieldKey, Integer number)
        : key(std::move(fieldKey))
        , value(static_cast<std::int64_t>(number))
    {
    }
};

// Writes one log event. `event` is a fixed name that docs/OPERATIONS.md lists.
using Logger = std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)>;

}
