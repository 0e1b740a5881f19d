#pragma once

#include "daemon/calls/ingresscall.h"

#include <optional>

namespace Galenahill {

// Decides between a slow attempt of a call and its replacement, the offer of the same call to another
// target: which of them responds to the caller, and whether a further replacement may be offered.
// Neither ends on a forecast: the other one goes on until the response to be sent is there.
class AttemptRace
{
public:
    enum class Side {
        First,
        Replacement,
    };

    // Whether a replacement may be offered: the first attempt is still running, nobody has responded, and no
    // replacement has reached a target.
    bool mayOffer() const;

    // Whether the response of this side is the one for the caller. True for one side only; the first one
    // to ask wins.
    bool tryWin(Side side);

    // Records that a replacement was offered to a target, and the results of both sides. An attempt that was
    // answered wins if the other one has not.
    void replacementOffered();
    void firstEnded(AttemptResult result);
    void replacementEnded(AttemptResult result);

    std::optional<Side> winner() const;

    // The side whose result is the call's once both have ended: the winner, or the one that tells the caller
    // more.
    Side decisive() const;

    // The result of the other side; empty if it did not run.
    std::optional<AttemptResult> otherResult() const;

private:
    std::optional<Side> m_winner;
    std::optional<AttemptResult> m_first;
    // Result of the last replacement that was offered.
    std::optional<AttemptResult> m_replacement;
    bool m_replacementRunning = false;
};

}
