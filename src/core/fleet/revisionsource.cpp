#include "core/fleet/revisionsource.h"

namespace Galenahill {

std::string toString(RevisionSource source)
{
    switch (source) {
    case RevisionSource::StoreList:
        return "store-list";
    case RevisionSource::StoreWatch:
        return "store-watch";
    case RevisionSource::Member:
        return "member";
    case RevisionSource::Operator:
        return "operator";
    }
    return "unknown";
}

}
