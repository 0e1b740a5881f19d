#pragma once

#include <cstdint>

namespace Galenahill {

// Bounds retries to a share of the calls, so that retries can't multiply the
// load on a service that is already failing.
class RetryBudget
{
public:
    struct Options
    {
        // Retries earned by one call.
        double perCall = 0.1;
        // Retries saved up at the most; also the number at start.
        double most = 20;
    };

    explicit RetryBudget(Options options);

    // Changes the bounds; what is saved up is kept within them.
    void setOptions(Options options);

    // A first attempt was made.
    void callMade();

    // Whether a retry is left.
    bool hasOne() const;

    // Takes one retry; false if none is left.
    bool tryTake();

    // A repeat was made that nobody could keep back. What it takes beyond what is left
    // is missing for the next ones.
    void spend();

    // The retry that was taken wasn't made.
    void giveBack();

private:
    Options m_options;
    double m_left = 0;
};

}
