#include "core/calls/offerorder.h"

namespace Galenahill {

namespace {

// Offers without waiting. Reports are a few calls old, so one or two targets may have filled up
// since; each further offer costs its bytes.
constexpr std::size_t MaxUnqueuedOffers = 2;

// Sidecars at which a call queues, one after the other.
constexpr std::size_t MaxQueuedOffers = 2;

// Offers to remote data centres after that.
constexpr std::size_t MaxOverflows = 2;

}

Choice nextOffer(TargetPicker &picker, const std::vector<MemberRecord> &targets, OfferHistory &history, const OfferTerms &terms, TimePoint now)
{
    if (targets.size() > 1 && history.asked.size() < MaxUnqueuedOffers) {
        const auto *first = history.asked.empty() ? terms.first : nullptr;
        const auto *target = first != nullptr ? first : picker.selectForQueueing(targets, history.asked, now);
        const bool isRemote = target != nullptr && target->dataCentre != terms.dataCentre;
        if (target != nullptr && (terms.crossesUnasked || !isRemote) && picker.mayHaveFreeSlot(target->name, now)) {
            history.asked.push_back(target->name);
            return {target, false};
        }
    }
    const auto *target = history.waitedAt.size() < MaxQueuedOffers ? picker.selectForQueueing(targets, history.waitedAt, now) : nullptr;
    if (target != nullptr) {
        history.waitedAt.push_back(target->name);
        return {target, true};
    }
    if (history.overflowedTo.size() >= MaxOverflows) {
        return {};
    }
    const auto *remote = picker.pickOverflow(targets, history.overflowedTo, now);
    if (remote != nullptr) {
        history.overflowedTo.push_back(remote->name);
    }
    return {remote, false};
}

}
