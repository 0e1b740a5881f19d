#include "core/config/configbundle.h"
#include "core/config/contenthash.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

const std::string Service = "[service ventas]\ndata-centres = rosario-a\nslots = 6\nconnections = 120\n";
const std::string Route = "[route pedidos]\npath = /ventas\nmethods = POST\nservice = ventas\nidempotent = no\ntimeout-ms = 3000\n";

ConfigBundle completeBundle()
{
    ConfigBundle bundle;
    bundle.manifest.revision = Revision(2);
    bundle.files = {{FileName("routes.ini"), Route}, {FileName("services.ini"), Service}};
    for (const auto &file : bundle.files) {
        bundle.manifest.files.emplace(file.name, contentHash(file.text));
    }
    return bundle;
}

bool isCorrupt(const ConfigBundle &bundle)
{
    const auto revision = ConfigRevision::fromBundle(bundle);
    return !revision && revision.error().kind == ErrorKind::Corrupt;
}

}

BOOST_AUTO_TEST_CASE(AcceptsACompleteRevision)
{
    BOOST_TEST(ConfigRevision::fromBundle(completeBundle()).has_value());
}

// A peer or the store returns a revision in which one file is missing, damaged or from another
// revision. Each part alone would be a valid configuration, so only the comparison with the
// manifest detects it; if it were served, callers would get "no route" for accepted routes.
BOOST_AUTO_TEST_CASE(RejectsPartsOfARevision)
{
    auto missing = completeBundle();
    missing.files.erase(missing.files.begin());
    BOOST_TEST(isCorrupt(missing));

    auto older = completeBundle();
    older.files[0].text += "; an earlier text\n";
    BOOST_TEST(isCorrupt(older));

    auto added = completeBundle();
    added.files.push_back({FileName("zinc.ini"), Route});
    BOOST_TEST(isCorrupt(added));
}

// The manifest and the files match, but a route refers to a service that no file defines, as a
// store edited by hand could contain. The node keeps the revision that it has.
BOOST_AUTO_TEST_CASE(RejectsACompleteRevisionThatIsInvalid)
{
    auto bundle = completeBundle();
    bundle.files.pop_back();
    bundle.manifest.files.erase(FileName("services.ini"));
    const auto revision = ConfigRevision::fromBundle(bundle);
    BOOST_REQUIRE(!revision.has_value());
    BOOST_TEST((revision.error().kind == ErrorKind::Invalid));
}
