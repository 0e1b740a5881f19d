#include "core/customers/calleridentity.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <fmt/format.h>

namespace Galenahill {

namespace {

constexpr std::string_view Scheme = "Bearer ";

constexpr int Hexadecimal = 16;

// The key in the value of an Authorization field; empty if it has another scheme.
std::string_view keyIn(std::string_view field)
{
    while (!field.empty() && field.front() == ' ') {
        field.remove_prefix(1);
    }
    if (!boost::algorithm::istarts_with(field, Scheme)) {
        return {};
    }
    field.remove_prefix(Scheme.size());
    const auto begin = field.find_first_not_of(" \t");
    const auto end = field.find_last_not_of(" \t");
    return begin == std::string_view::npos ? std::string_view() : field.substr(begin, end - begin + 1);
}

template <typename Number>
std::optional<Number> parseWhole(std::string_view text, int base)
{
    Number value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

}

std::string formatCustomer(const IdentifiedCustomer &customer)
{
    return fmt::format("{};{};{}", customer.name.value(), formatFingerprint(customer.keyFingerprint), customer.revision.value());
}

std::optional<IdentifiedCustomer> parseCustomer(std::string_view text)
{
    // A customer's name may contain any character, so the other parts are read from the end.
    const auto second = text.rfind(';');
    const auto first = second == std::string_view::npos || second == 0 ? std::string_view::npos : text.rfind(';', second - 1);
    if (first == std::string_view::npos || first == 0) {
        return std::nullopt;
    }
    const auto fingerprint = parseWhole<std::uint32_t>(text.substr(first + 1, second - first - 1), Hexadecimal);
    const auto revision = parseWhole<std::uint64_t>(text.substr(second + 1), 10);
    if (!fingerprint || !revision) {
        return std::nullopt;
    }
    return IdentifiedCustomer{.name = CustomerName(std::string(text.substr(0, first))), .keyFingerprint = *fingerprint, .revision = Revision(*revision)};
}

CallerIdentity identifyCaller(
    const ConfigSnapshot &config, const RouteDefinition *route, const std::vector<std::string_view> &authorization, bool hasRunningParent)
{
    using Status = CallerIdentity::Status;
    if (!config.requiresKeys()) {
        return {};
    }
    const bool keyNeeded = (route == nullptr || !route->anonymous) && !hasRunningParent;
    if (authorization.empty()) {
        return {.status = keyNeeded ? Status::MissingKey : Status::NoKeyNeeded};
    }
    if (authorization.size() > 1) {
        return {.status = keyNeeded ? Status::SeveralKeys : Status::NoKeyNeeded};
    }
    const auto key = keyIn(authorization.front());
    const auto digest = KeyDigest(key);
    const auto *customer = key.empty() ? nullptr : config.customerOfKey(digest);
    if (customer == nullptr) {
        return {.status = keyNeeded ? Status::UnknownKey : Status::NoKeyNeeded};
    }
    return {.status = Status::Identified, .customer = customer, .key = digest};
}

bool isRevoked(const IdentifiedCustomer &customer, const ConfigSnapshot &config, Revision revision)
{
    if (revision <= customer.revision || !config.requiresKeys()) {
        return false;
    }
    const auto *definition = config.customer(customer.name);
    if (definition == nullptr) {
        return true;
    }
    return std::none_of(definition->keys.begin(), definition->keys.end(), [&](const KeyDigest &key) { return key.fingerprint() == customer.keyFingerprint; });
}

std::string rejectionText(CallerIdentity::Status status)
{
    switch (status) {
    case CallerIdentity::Status::MissingKey:
        return "the call has no key; send 'Authorization: Bearer KEY' with a key of a customer";
    case CallerIdentity::Status::UnknownKey:
        return "no customer has this key; it may be mistyped or revoked";
    case CallerIdentity::Status::SeveralKeys:
        return "the call has several Authorization fields; send exactly one";
    case CallerIdentity::Status::NoKeyNeeded:
    case CallerIdentity::Status::Identified:
        break;
    }
    return {};
}

}
