#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

// A member of a JSON object. Its value is a part of the object's text.
struct JsonMember
{
    std::string name;
    std::string_view value;
};

// The members of a JSON object and the elements of a JSON array, in order. Their values are found by their brackets and quotes
// and are not parsed: one that can't be read, since it is nested too deeply or contains a number that is out of range, leaves
// the others readable, and a value of several hundred kilobytes needn't be parsed into a tree, which takes eight times its size.
//
// Throw std::invalid_argument if the text isn't an object or an array. The values may still be invalid.
std::vector<JsonMember> splitObject(std::string_view text);
std::vector<std::string_view> splitArray(std::string_view text);

// The value of the last member with that name, as a parser would choose it; empty if there is none.
std::optional<std::string_view> findMember(const std::vector<JsonMember> &members, std::string_view name);

// The same; throws std::invalid_argument if there is none.
std::string_view memberAt(const std::vector<JsonMember> &members, std::string_view name);

}
