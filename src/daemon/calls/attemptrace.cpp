#include "daemon/calls/attemptrace.h"

namespace Galenahill {

namespace {

// How much the result tells the caller. A call that may have run must not appear as one that did not.
int rank(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Answered:
        return 6;
    case AttemptResult::Failed:
        return 5;
    case AttemptResult::Overloaded:
        return 4;
    case AttemptResult::OutcomeUnknown:
        return 3;
    case AttemptResult::NotRunByTarget:
        return 2;
    case AttemptResult::KeyRevoked:
        return 1;
    case AttemptResult::NotRun:
        break;
    }
    return 0;
}

}

bool AttemptRace::mayOffer() const
{
    const bool reachedTarget = m_replacement && isSent(*m_replacement);
    return !m_first && !m_winner && !m_replacementRunning && !reachedTarget;
}

bool AttemptRace::tryWin(Side side)
{
    if (!m_winner) {
        m_winner = side;
    }
    return m_winner == side;
}

void AttemptRace::replacementOffered()
{
    m_replacementRunning = true;
}

void AttemptRace::firstEnded(AttemptResult result)
{
    m_first = result;
    if (result == AttemptResult::Answered) {
        tryWin(Side::First);
    }
}

void AttemptRace::replacementEnded(AttemptResult result)
{
    m_replacementRunning = false;
    m_replacement = result;
    if (result == AttemptResult::Answered) {
        tryWin(Side::Replacement);
    }
}

std::optional<AttemptRace::Side> AttemptRace::winner() const
{
    return m_winner;
}

AttemptRace::Side AttemptRace::decisive() const
{
    if (m_winner) {
        return *m_winner;
    }
    return m_first && m_replacement && rank(*m_replacement) > rank(*m_first) ? Side::Replacement : Side::First;
}

std::optional<AttemptResult> AttemptRace::otherResult() const
{
    return decisive() == Side::First ? m_replacement : m_first;
}

}
