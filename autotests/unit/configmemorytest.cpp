// Heap use of a node with a large configuration. Users pay for the peak of each node's
// memory, and the largest of their deployments has some 1,600 routes that hardly differ.
// The tests count bytes, which are the same on each machine; the bounds are a tenth
// above the counted figures, rounded up.

#include "adapters/codec/deltabases.h"
#include "adapters/platform/documentreader.h"
#include "daemon/configwatcher.h"
#include "heapcounter.h"
#include "platform/configuration.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace Galenahill;

namespace {

constexpr int Routes = 1600;

std::string document(int revision)
{
    auto text = fmt::format(R"({{"version":"r{}","services":[{{"name":"huvo11a","health-check-path":"/health","max-connections":410}}],)"
                            R"("virtual-hosts":[{{"host":"hulo84.example","paths":[)",
        revision);
    for (int route = 0; route < Routes; ++route) {
        text += fmt::format(R"({}{{"name":"r-89a{:05}","path-prefix":"/x{:05}/ny95/","type":"safe","timeout-s":1.2,"target-latency-s":0.6,)"
                            R"("priority":1,"service":"huvo11a","attempts":2}})",
            route > 0 ? "," : "",
            route,
            route);
    }
    return text + "]}]}";
}

}

BOOST_AUTO_TEST_CASE(DecodingPeaksLittleAboveItsResult)
{
    const auto text = document(1);
    const auto before = HeapCounter::resetPeak();
    const auto revision = makeRevision(text, Platform::decodeConfiguration);
    BOOST_REQUIRE(revision.has_value());
    const auto live = HeapCounter::liveBytes - before;
    const auto peak = HeapCounter::peakBytes - before;
    BOOST_TEST_MESSAGE("text " << text.size() << ", live " << live << ", peak " << peak);
    BOOST_TEST(live < 800'000);
    BOOST_TEST(peak < 850'000);
}

// The response contains the document once and stays in memory meanwhile.
BOOST_AUTO_TEST_CASE(ReadingAResponseTakesOneMoreCopyOfTheDocument)
{
    const auto text = document(1);
    const auto response = R"({"items":[{"metadata":{"name":"main"},"content":)" + text + R"(}],"more":false,"version":1})";
    const DocumentReader reader(
        {.metadata = "metadata", .name = "name", .content = "content", .status = "status", .items = "items", .hasMore = "more", .storeVersion = "version"});
    const auto before = HeapCounter::resetPeak();
    DocumentSet set;
    BOOST_REQUIRE(reader.addPage(set, response).has_value());
    BOOST_TEST(set.documents.front().content == text);
    const auto peak = HeapCounter::peakBytes - before;
    BOOST_TEST_MESSAGE("response " << response.size() << ", peak " << peak);
    BOOST_TEST(static_cast<std::size_t>(peak) < text.size() + 10'000);
}
