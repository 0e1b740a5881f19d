#include "core/config/calltype.h"

namespace Galenahill {

const char *toString(CallType type)
{
    switch (type) {
    case CallType::Idempotent:
        return "idempotent";
    case CallType::NonIdempotent:
        return "non-idempotent";
    case CallType::Upload:
        return "upload";
    case CallType::LargeResponse:
        return "large-response";
    }
    return "non-idempotent";
}

}
