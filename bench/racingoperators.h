#pragma once

#include "faultrecords.h"

#include <memory>
#include <vector>

namespace Galenahill {

// Operators that apply changes of the example files through random nodes, all
// at the same moments, and now and then a file that must be refused.
class RacingOperators
{
public:
    struct Options
    {
        std::vector<Endpoint> nodes;
        // File names and texts that every change is based on.
        std::vector<std::pair<std::string, std::string>> files;
        std::size_t operators = 2;
        Milliseconds interval{1000};
        std::uint64_t seed = 1;
    };

    explicit RacingOperators(Options options);
    ~RacingOperators();

    // Lets the applies under way end and gives the records of all.
    std::vector<ApplyRecord> stop();

    // One apply through a node, as an operator makes it.
    static ApplyRecord apply(const Endpoint &node, const std::string &id, const std::string &file, const std::string &text);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
