#pragma once

#include "core/config/configrepository.h"

#include <map>
#include <string>

namespace Galenahill {

// Removes blobs from the store that no kept revision references. Runs on the node that holds the
// collector role; two collectors at once, or one that resumes after a long pause, do no harm.
//
// A blob becomes a candidate in one round and is removed in a later one if the head has changed in
// between and still doesn't reference it. An apply that found the blob in the store before it
// became a candidate builds on a head that has changed since, so its head write fails. A later
// apply writes the blob again first, so the removal fails, since it expects the version recorded
// with the candidate.
class BlobCollector
{
public:
    struct Options
    {
        ObjectStore &store;
        ConfigRepository &repository;
        // Maximum number of store calls on blobs per round.
        std::size_t callsPerRound = 40;
    };

    explicit BlobCollector(Options options);

    // Runs one round and returns the number of removed blobs.
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
