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

Offer nextOffer(TargetPicker &picker, const std::vector<MemberRecord> &targets, OfferHistory &history, const OfferOptions &options, TimePoint now)
{
    if (targets.size() > 1 && history.offeredWithoutWaiting.size() < MaxUnqueuedOffers) {
        const auto *preferred = history.offeredWithoutWaiting.empty() ? options.preferredTarget : nullptr;
        const auto *target = preferred != nullptr ? preferred : picker.selectForQueueing(targets, history.offeredWithoutWaiting, now);
        const bool isRemote = target != nullptr && target->dataCentre != options.dataCentre;
        if (target != nullptr && (options.offerRemoteBeforeQueueing || !isRemote) && picker.mayHaveFreeSlot(target->name, now)) {
            history.offeredWithoutWaiting.push_back(target->name);
            return {target, false};
        }
    }
    const auto *target = history.queuedAt.size() < MaxQueuedOffers ? picker.selectForQueueing(targets, history.queuedAt, now) : nullptr;
    if (target != nullptr) {
        history.queuedAt.push_back(target->name);
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
