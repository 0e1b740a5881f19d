#pragma once

#include "faultrecords.h"

#include <memory>
#include <vector>

namespace Galenahill {

// Operators that apply changes of the example files through random nodes at the same time, so that
// their applies conflict. Some of the applies are of an invalid file, which must be rejected.
class RacingOperators
{
public:
    struct Options
    {
        std::vector<Endpoint> nodes;
        // Names and texts of the files that the changes are based on.
        std::vector<std::pair<std::string, std::string>> files;
        std::size_t operators = 2;
        Milliseconds interval{1000};
        std::uint64_t seed = 1;
    };

    explicit RacingOperators(Options options);
    ~RacingOperators();

    // Waits for the applies in progress and returns the records of all.
    std::vector<ApplyRecord> stop();

    // Applies one file through a node, as an operator does.
    static ApplyRecord apply(const Endpoint &node, const std::string &id, const std::string &file, const std::string &text);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
