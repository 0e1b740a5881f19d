#pragma once

#include "core/config/configrepository.h"

#include <map>
#include <string>

namespace Galenahill {

// Removes contents from the store that no kept revision names. Runs on the
// node that holds the role; two at once, or one that wakes from a long pause,
// do no harm.
//
// A content is noted in one round and removed in a later one, if the head has
// changed in between and still doesn't name it. An apply that found the
// content in the store before it was noted builds on a head that has changed
// since, so its head write fails; one that comes later writes the content
// again first, so the removal, which expects the noted version, fails.
class BlobCollector
{
public:
    struct Options
    {
        ObjectStore &store;
        ConfigRepository &repository;
        // Store calls that one round may spend on contents.
        std::size_t callsPerRound = 40;
    };

    explicit BlobCollector(Options options);

    // Makes one round and gives the number of contents removed.
    Result<std::size_t> run();

private:
    struct Candidate
    {
        ObjectVersion blob;
        ObjectVersion head;
    };

    Options m_options;
    std::map<std::string, Candidate> m_candidates;
};

}
