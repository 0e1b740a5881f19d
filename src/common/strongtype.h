#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace Galenahill {

// A value with a distinct type: two strong types over the same representation don't convert into
// each other, so a service name can't be passed where a data centre is expected.
template <typename Value, typename Tag>
class StrongType
{
public:
    StrongType() = default;
    explicit StrongType(Value value)
        : m_value(std::move(value))
    {
    }

    const Value &value() const
    {
        return m_value;
    }

    friend auto operator<=>(const StrongType &left, const StrongType &right) = default;

    friend std::ostream &operator<<(std::ostream &stream, const StrongType &strong)
    {
        return stream << strong.m_value;
    }

    // Used by the codec; only the value goes over the wire.
    template <typename Inspector>
    friend auto inspect(Inspector &inspector, StrongType &strong)
    {
        return inspector(strong.m_value);
    }

private:
    Value m_value{};
};

}

template <typename Value, typename Tag>
struct std::hash<Galenahill::StrongType<Value, Tag>>
{
    std::size_t operator()(const Galenahill::StrongType<Value, Tag> &strong) const
    {
        return std::hash<Value>{}(strong.value());
    }
};
