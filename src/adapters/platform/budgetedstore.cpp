#include "adapters/platform/budgetedstore.h"

#include <algorithm>
#include <mutex>
#include <thread>

namespace Galenahill {

namespace {

constexpr Milliseconds StopCheckInterval{250};

}

class BudgetedStore::Private
{
public:
    explicit Private(Options storeOptions)
        : options(storeOptions)
        , budget(storeOptions.budget)
    {
    }

    Options options;
    std::mutex mutex;
    StoreBudget budget;

    template <typename Function>
    Milliseconds withBudget(Function function)
    {
        const std::lock_guard lock(mutex);
        return function(budget);
    }
};

BudgetedStore::BudgetedStore(Options options)
    : d(std::make_unique<Private>(options))
{
}

BudgetedStore::~BudgetedStore() = default;

void BudgetedStore::pause(Milliseconds time)
{
    const auto until = Clock::now() + time;
    while (!d->options.stopping && Clock::now() < until) {
        std::this_thread::sleep_for(std::min<Clock::duration>(StopCheckInterval, until - Clock::now()));
    }
}

void BudgetedStore::pauseUpTo(Milliseconds maxTime)
{
    pause(d->withBudget([&](StoreBudget &budget) { return budget.jitter(maxTime); }));
}

Milliseconds BudgetedStore::backOff()
{
    const auto time = d->withBudget([](StoreBudget &budget) { return budget.failed(); });
    pause(time);
    return time;
}

void BudgetedStore::succeeded()
{
    const std::lock_guard lock(d->mutex);
    d->budget.succeeded();
}

Result<StoredObject> BudgetedStore::read(const std::string &key)
{
    pause(d->withBudget([](StoreBudget &budget) { return budget.reserve(Clock::now()); }));
    return d->options.store.read(key);
}

Result<ObjectVersion> BudgetedStore::write(const std::string &key, const std::string &value, ObjectVersion expected)
{
    pause(d->withBudget([](StoreBudget &budget) { return budget.reserve(Clock::now()); }));
    return d->options.store.write(key, value, expected);
}

Result<void> BudgetedStore::remove(const std::string &key, ObjectVersion expected)
{
    pause(d->withBudget([](StoreBudget &budget) { return budget.reserve(Clock::now()); }));
    return d->options.store.remove(key, expected);
}

Result<std::vector<std::string>> BudgetedStore::list(const std::string &prefix)
{
    pause(d->withBudget([](StoreBudget &budget) { return budget.reserve(Clock::now()); }));
    return d->options.store.list(prefix);
}

Result<StoredObject> BudgetedStore::watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit)
{
    pause(d->withBudget([](StoreBudget &budget) { return budget.reserve(Clock::now()); }));
    return d->options.store.watch(key, known, timeLimit);
}

}
