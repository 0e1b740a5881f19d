#include "adapters/platform/httpstoreerror.h"

#include <fmt/format.h>

namespace Galenahill {

Error httpStoreError(const HttpResponse &response)
{
    switch (response.result()) {
    case http::status::gone:
        return {ErrorKind::NotFound, "the store no longer has the changes since that version; list the kind again"};
    case http::status::not_found:
        return {ErrorKind::NotFound, "no such object"};
    case http::status::conflict:
        return {ErrorKind::Conflict, "the stored version is not the expected one"};
    case http::status::service_unavailable:
    case http::status::too_many_requests:
        return {ErrorKind::Unavailable, fmt::format("refused with {}; try again later", response.result_int())};
    default:
        // Any other failure may have occurred after a write took effect.
        return {ErrorKind::OutcomeUnknown, fmt::format("unexpected status {}; check the platform's store", response.result_int())};
    }
}

}
