#pragma once

#include "core/config/customerdefinition.h"
#include "core/config/sectionreader.h"

#include <string_view>
#include <vector>

namespace Galenahill {

// Checks customers, whether they are defined in INI files or in a document of another system. No error
// contains a key; keys are named by their fingerprints.
class CustomerValidator
{
public:
    // Keeps a reference to the errors and adds to them.
    explicit CustomerValidator(ConfigErrors &errors);

    // Reads one [customer] section.
    CustomerDefinition read(SectionReader &section);

    // Checks all customers of a configuration: each by itself, and against each other.
    void check(const std::vector<CustomerDefinition> &customers);

    // Adds the key to the customer if it is valid, else records for `check` what is wrong with it.
    static void addKey(CustomerDefinition &customer, std::string_view key);

private:
    // A key of a customer.
    struct Owner
    {
        const KeyDigest *key;
        const CustomerDefinition *customer;
    };

    void checkName(const CustomerDefinition &customer);
    void checkKeyFaults(const CustomerDefinition &customer);
    void checkLimit(const CustomerDefinition &customer);
    void checkNames(const std::vector<CustomerDefinition> &customers);
    void checkKeys(const std::vector<CustomerDefinition> &customers);
    void checkOwners(const Owner &first, const Owner &other);
    void addError(const CustomerDefinition &customer, const std::string &text);

    ConfigErrors &m_errors;
};

}
