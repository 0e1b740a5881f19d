#include "core/calls/offerorder.h"

namespace Galenahill {

namespace {

// Offers without waiting. Reports are a few calls old, so one or two targets may
// have filled up since; each further offer costs its bytes.
constexpr std::size_t MaxAsked = 2;

// Sidecars at which a call waits for a slot, one after the other.
constexpr std::size_t MaxWaits = 2;

// Offers to other data centres after that.
constexpr std::size_t MaxOverflows = 2;

}

Choice nextOffer(TargetPicker &picker, const std::vector<MemberRecord> &targets, OfferHistory &history, const OfferTerms &terms, TimePoint now)
{
    if (targets.size() > 1 && history.asked.size() < MaxAsked) {
        const auto *first = history.asked.empty() ? terms.first : nullptr;
        const auto *target = first != nullptr ? first : picker.selectForQueueing(targets, history.asked, now);
        const bool crosses = target != nullptr && target->dataCentre != terms.dataCentre;
        if (target != nullptr && (terms.crossesUnasked || !crosses) && picker.mayHaveFreeSlot(target->name, now)) {
            history.asked.push_back(target->name);
            return {target, false};
        }
    }
    const auto *target = history.waitedAt.size() < MaxWaits ? picker.selectForQueueing(targets, history.waitedAt, now) : nullptr;
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
