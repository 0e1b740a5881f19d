#pragma once

#include "core/config/configsnapshot.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenahill {

// The customer by whose key a call was identified, as nodes tell each other.
struct IdentifiedCustomer
{
    CustomerName name;
    std::uint32_t keyFingerprint = 0;
    // Revision of the configuration in which the customer had the key.
    Revision revision;

    friend bool operator==(const IdentifiedCustomer &, const IdentifiedCustomer &) = default;
};

// Writes and parses the value of the header field between nodes; empty if it is malformed.
std::string formatCustomer(const IdentifiedCustomer &customer);
std::optional<IdentifiedCustomer> parseCustomer(std::string_view text);

// Result of identifying the caller of a call.
struct CallerIdentity
{
    enum class Status {
        // The configuration or the route asks for no key, or a running call made this one.
        NoKeyNeeded,
        Identified,
        MissingKey,
        // The key belongs to no customer, or the field cannot be read.
        UnknownKey,
        // More than one field could name different customers.
        SeveralKeys,
    };

    Status status = Status::NoKeyNeeded;
    // Set if the status is Identified.
    const CustomerDefinition *customer = nullptr;
    std::optional<KeyDigest> key;

    bool accepted() const
    {
        return status == Status::NoKeyNeeded || status == Status::Identified;
    }
};

// Identifies the caller by the values of its Authorization fields. `route` is null if no route
// matches the call. A nested call without a key is made for its parent call and needs none.
CallerIdentity identifyCaller(
    const ConfigSnapshot &config, const RouteDefinition *route, const std::vector<std::string_view> &authorization, bool hasRunningParent);

// Whether the configuration, of the given revision, still has the key by which the customer was
// identified. An older revision may not have it yet, so it cannot tell.
bool isRevoked(const IdentifiedCustomer &customer, const ConfigSnapshot &config, Revision revision);

// Why the caller is rejected, with the remedy. Contains no part of the key.
std::string rejectionText(CallerIdentity::Status status);

}
