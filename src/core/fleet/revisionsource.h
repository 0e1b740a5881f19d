#pragma once

#include <string>

namespace Galenahill {

// How a node got a revision.
enum class RevisionSource {
    // A list of the store's documents.
    StoreList,
    // A change that a watch of the store returned.
    StoreWatch,
    // Another member.
    Member,
    // An operator's request to this node.
    Operator,
};

std::string toString(RevisionSource source);

}
