#include "core/calls/responseclass.h"

#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace Galenahill;

namespace Galenahill {

std::ostream &operator<<(std::ostream &stream, ResponseClass responseClass)
{
    return stream << static_cast<int>(responseClass);
}

}

namespace {

CallHeaderNames headerNames()
{
    CallHeaderNames headerNames;
    headerNames.originMarker = "Proof";
    headerNames.notExecuted = "Not-Executed";
    return headerNames;
}

}

// A faulty target, or another process at its address, sends bytes that parse as a success. Only
// the target's origin marker distinguishes them; passed on, the caller would take them for the
// result of its call.
BOOST_AUTO_TEST_CASE(SuccessWithoutOriginMarkerIsUntrusted)
{
    BOOST_TEST(classifyResponse(headerNames(), {.status = 200}) == ResponseClass::Untrusted);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 200, .hasOriginMarker = true}) == ResponseClass::Answered);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 200, .hasOriginMarker = true, .hasEncoding = true}) == ResponseClass::Untrusted);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 404, .hasOriginMarker = true}) == ResponseClass::Answered);
}

// A target that is overloaded, or is not the intended one, states that it did not execute the call.
// Nothing else proves that, in particular not a status of 503 alone.
BOOST_AUTO_TEST_CASE(OnlyTheTargetsStatementProvesNonExecution)
{
    BOOST_TEST(classifyResponse(headerNames(), {.status = 503, .isMarkedNotExecuted = true}) == ResponseClass::NotExecuted);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 421}) == ResponseClass::NotExecuted);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 503, .hasOriginMarker = true}) == ResponseClass::Unproven);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 503}) == ResponseClass::Unproven);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 429, .hasOriginMarker = true}) == ResponseClass::Unproven);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 408, .hasOriginMarker = true}) == ResponseClass::Unproven);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 504, .hasOriginMarker = true}) == ResponseClass::Failed);
    BOOST_TEST(classifyResponse(headerNames(), {.status = 500, .hasOriginMarker = true}) == ResponseClass::Failed);
}

// Without these header names, every response is trusted.
BOOST_AUTO_TEST_CASE(WithoutHeaderNamesEveryResponseIsTrusted)
{
    BOOST_TEST(classifyResponse({}, {.status = 200}) == ResponseClass::Answered);
    BOOST_TEST(classifyResponse({}, {.status = 421}) == ResponseClass::Answered);
}
