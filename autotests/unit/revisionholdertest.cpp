#include "core/fleet/revisionholder.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

std::shared_ptr<const ConfigRevision> revision(std::uint64_t number, const std::string &writer = "ana")
{
    ConfigBundle bundle;
    bundle.manifest.revision = Revision(number);
    bundle.manifest.record({ApplyId(writer), Revision(number), FileName("f.ini"), writer, 0, true});
    return *ConfigRevision::fromBundle(bundle);
}

}

// Updates are reordered in flight: revision 4 arrives after 5. Adopting it would revert the node to
// a configuration that operators have replaced.
BOOST_AUTO_TEST_CASE(NeverAdoptsAnOlderRevision)
{
    RevisionHolder holder;
    BOOST_TEST((holder.offer(revision(5)) == RevisionHolder::OfferResult::Adopted));
    BOOST_TEST((holder.offer(revision(4)) == RevisionHolder::OfferResult::Older));
    BOOST_TEST((holder.offer(revision(5)) == RevisionHolder::OfferResult::Known));
    BOOST_TEST((holder.offer(revision(5, "ben")) == RevisionHolder::OfferResult::Forked));
    BOOST_TEST(holder.revision().value() == 5U);
    BOOST_TEST((holder.offer(revision(6)) == RevisionHolder::OfferResult::Adopted));
}
