#include "core/config/customervalidator.h"

#include "core/config/configlimits.h"
#include "core/config/keyredaction.h"
#include "core/config/nearestname.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <tuple>

namespace Galenahill {

namespace {

const std::vector<std::string> CustomerKeys = {"api-keys", "rate-per-s", "burst", "priority"};

bool isControl(unsigned char c)
{
    return c < ' ' || c == 0x7f;
}

bool isBlankOrControl(unsigned char c)
{
    return c == ' ' || isControl(c);
}

// What is wrong with the key, with the remedy; empty if it is valid.
std::string faultOf(std::string_view key)
{
    if (key.empty()) {
        return "a key is empty; separate keys by single commas";
    }
    if (isKeyPlaceholder(key)) {
        return fmt::format("{} stands for a key that isn't shown; write the key itself", key);
    }
    if (std::any_of(key.begin(), key.end(), isBlankOrControl)) {
        return fmt::format("the key with fingerprint {} contains blanks or control characters; separate keys by commas, and write nothing else on the line",
            formatFingerprint(KeyDigest(key).fingerprint()));
    }
    return {};
}

// Where the customer is defined, as part of an error about another one.
std::string placeOf(const CustomerDefinition &customer)
{
    return customer.file.value().empty() ? "the same document" : customer.file.value();
}

}

CustomerValidator::CustomerValidator(ConfigErrors &errors)
    : m_errors(errors)
{
}

CustomerDefinition CustomerValidator::read(SectionReader &section)
{
    // If a line break is missing or misplaced, an API key may be read as the name of a setting, so an unknown name is
    // printed only if it resembles a known one.
    for (const auto &key : section.unknownKeys(CustomerKeys)) {
        const auto nearest = nearestName(key, CustomerKeys);
        section.addError(fmt::format("{}; the keys are {}",
            nearest.empty() ? "a setting that isn't shown, as it may be part of an API key: no such key"
                            : key + ": no such key" + suggestion(key, CustomerKeys),
            fmt::join(CustomerKeys, ", ")));
    }
    CustomerDefinition customer;
    customer.name = CustomerName(section.name());
    customer.file = section.file();
    if (const auto *keys = section.find("api-keys"); keys != nullptr && !keys->empty()) {
        for (const auto &key : listItems(*keys)) {
            addKey(customer, key);
        }
    }
    if (section.find("priority") != nullptr) {
        customer.priority = static_cast<std::uint32_t>(section.number("priority", 0, ConfigLimits::MaxPriority, 0));
    }
    const auto rate = section.decimal("rate-per-s");
    const auto burst = section.decimal("burst");
    const bool unreadable = (section.find("rate-per-s") != nullptr && !rate) || (section.find("burst") != nullptr && !burst);
    if (!unreadable) {
        customer.limit = {.ratePerSecond = rate.value_or(0), .burst = burst.value_or(0)};
    }
    return customer;
}

void CustomerValidator::addKey(CustomerDefinition &customer, std::string_view key)
{
    if (auto fault = faultOf(key); fault.empty()) {
        customer.keys.emplace_back(key);
    } else {
        customer.keyFaults.push_back(std::move(fault));
    }
}

void CustomerValidator::check(const std::vector<CustomerDefinition> &customers)
{
    if (customers.size() > ConfigLimits::MaxCustomers) {
        m_errors.add(fmt::format("{} customers, the limit is {}; remove customers that aren't needed", customers.size(), ConfigLimits::MaxCustomers));
    }
    for (const auto &customer : customers) {
        checkName(customer);
        checkKeyFaults(customer);
        checkLimit(customer);
    }
    checkNames(customers);
    checkKeys(customers);
}

// The name is written into header fields, from which blanks at either end would be trimmed.
void CustomerValidator::checkName(const CustomerDefinition &customer)
{
    const auto &name = customer.name.value();
    if (name.empty()) {
        m_errors.add("a customer has no name; give each customer a name of its own");
    } else if (name.size() > ConfigLimits::MaxFileNameLength) {
        addError(customer, fmt::format("the name has {} bytes, the limit is {}; shorten it", name.size(), ConfigLimits::MaxFileNameLength));
    } else if (std::any_of(name.begin(), name.end(), isControl)) {
        m_errors.add("the name of a customer contains control characters; remove them");
    } else if (name.front() == ' ' || name.back() == ' ') {
        addError(customer, "the name begins or ends with a blank; remove it");
    }
}

void CustomerValidator::checkKeyFaults(const CustomerDefinition &customer)
{
    for (const auto &fault : customer.keyFaults) {
        addError(customer, "api-keys: " + fault);
    }
}

void CustomerValidator::checkLimit(const CustomerDefinition &customer)
{
    const auto &limit = customer.limit;
    if (!std::isfinite(limit.ratePerSecond) || limit.ratePerSecond < 0) {
        addError(customer, fmt::format("rate-per-s = {}: give the calls per second, or 0 for no limit", limit.ratePerSecond));
    } else if (limit.limited() && (!std::isfinite(limit.burst) || limit.burst < 1)) {
        addError(customer, fmt::format("burst = {}: a customer with rate-per-s needs a burst of at least 1 call; raise or add it", limit.burst));
    } else if (limit.burst < 0) {
        addError(customer, fmt::format("burst = {}: below zero; remove it, since the customer has no rate-per-s", limit.burst));
    }
}

void CustomerValidator::checkNames(const std::vector<CustomerDefinition> &customers)
{
    std::vector<const CustomerDefinition *> sorted;
    sorted.reserve(customers.size());
    for (const auto &customer : customers) {
        sorted.push_back(&customer);
    }
    // The address breaks ties, so that the definition that comes first is the one that stays.
    std::sort(sorted.begin(), sorted.end(), [](const auto *left, const auto *right) { return std::tie(left->name, left) < std::tie(right->name, right); });
    const CustomerDefinition *first = nullptr;
    for (const auto *customer : sorted) {
        if (first != nullptr && first->name == customer->name) {
            addError(*customer, fmt::format("also defined in {}; remove or rename one of the two", placeOf(*first)));
        } else {
            first = customer;
        }
    }
}

void CustomerValidator::checkKeys(const std::vector<CustomerDefinition> &customers)
{
    std::vector<Owner> owners;
    for (const auto &customer : customers) {
        for (const auto &key : customer.keys) {
            owners.push_back({&key, &customer});
        }
    }
    std::sort(owners.begin(), owners.end(), [](const Owner &left, const Owner &right) {
        return *left.key != *right.key ? *left.key < *right.key : left.customer < right.customer;
    });
    const Owner *first = nullptr;
    for (const auto &owner : owners) {
        if (first != nullptr && *first->key == *owner.key) {
            checkOwners(*first, owner);
        } else {
            first = &owner;
        }
    }
}

void CustomerValidator::checkOwners(const Owner &first, const Owner &other)
{
    const auto fingerprint = formatFingerprint(other.key->fingerprint());
    if (first.customer == other.customer) {
        addError(*other.customer, fmt::format("api-keys: the key with fingerprint {} is listed twice; remove one", fingerprint));
    } else {
        addError(*other.customer,
            fmt::format("api-keys: the key with fingerprint {} also belongs to [customer {}] in {}; remove it from one of the two",
                fingerprint,
                first.customer->name.value(),
                placeOf(*first.customer)));
    }
}

void CustomerValidator::addError(const CustomerDefinition &customer, const std::string &text)
{
    m_errors.add(customer.file, "customer " + customer.name.value(), text);
}

}
