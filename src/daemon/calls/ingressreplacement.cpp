#include "daemon/calls/attemptreplacement.h"
#include "daemon/calls/ingress_p.h"

namespace Galenahill {

namespace {

// Interval at which a replacement for a slow attempt is offered until a target accepts it. Slots become
// free every few milliseconds to some tens of milliseconds.
constexpr Milliseconds OfferInterval{50};

}

// Sends the call to the target, and offers it to another one as well once the attempt exceeds the attempt
// timeout. A slow target may still respond, so neither attempt is given up before the response of the other
// one is there.
asio::awaitable<Attempt> Ingress::Private::attemptWithReplacement(IngressCall &call, const MemberRecord &target)
{
    using Side = AttemptRace::Side;
    const auto replacement = std::make_shared<AttemptReplacement>(co_await asio::this_coro::executor);
    call.replacement = replacement;
    call.attemptConnection->setResponseHook([state = replacement.get()] {
        const bool won = state->race.tryWin(Side::First);
        if (won && state->connection) {
            state->connection->cancellation().cancel();
        }
        return won;
    });
    offerReplacementAt(call, replacement, attemptTimeouts.attemptDeadline(call.route->name, Clock::now(), call.deadline));
    Attempt first;
    std::exception_ptr failure;
    try {
        first = co_await send(call, call.request, target, *call.attemptConnection);
    } catch (...) {
        failure = std::current_exception();
    }
    // The replacement refers to the call and has to end before it, also after an exception.
    replacement->race.firstEnded(first.result);
    replacement->timer.cancel();
    if ((failure || replacement->race.winner() == Side::First) && replacement->connection) {
        replacement->connection->cancellation().cancel();
    }
    while (replacement->running) {
        replacement->ended.expires_at(TimePoint::max());
        ErrorCode ignored;
        co_await replacement->ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
    if (replacement->failure && replacement->race.winner() != Side::First) {
        std::rethrow_exception(replacement->failure);
    }
    co_return endReplacement(call, *replacement, std::move(first));
}

void Ingress::Private::offerReplacementAt(IngressCall &call, const std::shared_ptr<AttemptReplacement> &replacement, TimePoint time)
{
    replacement->timer.expires_at(time);
    replacement->timer.async_wait([this, &call, weak = std::weak_ptr(replacement)](const ErrorCode &error) {
        // The call holds the state: if that is gone, so is the call.
        const auto state = weak.lock();
        if (error || !state || !state->race.mayOffer()) {
            return;
        }
        state->running = true;
        asio::co_spawn(state->timer.get_executor(), offerReplacements(call, state), [state](const std::exception_ptr &failure) {
            state->running = false;
            state->failure = failure;
            state->ended.cancel();
        });
    });
}

// A rejected offer costs the targets nothing and leaves the first attempt as it is.
asio::awaitable<void> Ingress::Private::offerReplacements(IngressCall &call, std::shared_ptr<AttemptReplacement> replacement)
{
    while (replacement->race.mayOffer() && !call.connection.cancellation().cancelled() && Clock::now() < call.deadline) {
        if (const auto *target = router.chooseReplacement(call)) {
            co_await sendReplacement(call, *replacement, *target);
            if (!isSent(replacement->attempt.result)) {
                ++call.rejectedReplacements;
                ++replacementsRejected;
                router.replacementRejected(call);
            }
        }
        if (replacement->race.mayOffer()) {
            replacement->timer.expires_after(OfferInterval);
            ErrorCode ignored;
            co_await replacement->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

asio::awaitable<void> Ingress::Private::sendReplacement(IngressCall &call, AttemptReplacement &replacement, const MemberRecord &target)
{
    replacement.target = target.name;
    replacement.request = call.request;
    setSidecarFields(call, replacement.request, {.mayWait = false, .isRetry = true, .canary = nullptr});
    auto &connection = replacement.connection.emplace(*call.attemptConnection);
    const auto win = [&call, state = &replacement] {
        const bool won = state->race.tryWin(AttemptRace::Side::Replacement);
        if (won) {
            call.replacedAt = Clock::now();
            call.attemptConnection->cancellation().cancel();
        }
        return won;
    };
    connection.setResponseHook(win);
    replacement.race.replacementOffered();
    replacement.attempt = co_await send(call, replacement.request, target, connection);
    replacement.race.replacementEnded(replacement.attempt.result);
    if (replacement.attempt.result == AttemptResult::Answered && !connection.responseStarted()) {
        win();
    }
}

// The connection of the attempt that has responded, or of the last attempt if none has; null before any.
const AttemptConnection *Ingress::Private::respondingConnection(const IngressCall &call)
{
    if (call.replacement && call.replacement->race.winner() == AttemptRace::Side::Replacement) {
        return &*call.replacement->connection;
    }
    return call.attemptConnection ? &*call.attemptConnection : nullptr;
}

// Both attempts have ended. Returns the one that decides, and records the other one.
Attempt Ingress::Private::endReplacement(IngressCall &call, AttemptReplacement &replacement, Attempt first)
{
    const auto &race = replacement.race;
    const bool replaced = race.decisive() == AttemptRace::Side::Replacement;
    if (const auto other = race.otherResult()) {
        router.otherAttemptEnded(call, *other, replaced ? call.lastTarget : replacement.target);
    }
    const bool sent = replacement.connection && isSent(replacement.attempt.result);
    retriesMade += sent ? 1 : 0;
    if (race.winner() == AttemptRace::Side::Replacement) {
        ++call.replacedAttempts;
        ++attemptsReplaced;
    } else if (sent) {
        ++call.unusedReplacements;
        ++replacementsUnused;
    }
    if (!replaced) {
        replacement.attempt = Attempt();
        return first;
    }
    call.lastTarget = replacement.target;
    return std::move(replacement.attempt);
}

}
