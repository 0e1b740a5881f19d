#pragma once

#include "core/config/storebudget.h"
#include "ports/objectstore.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Galenahill {

// Rate-limited access to the store for the node's background work: each call waits until the budget
// allows it. Usable from several threads.
class BudgetedStore : public ObjectStore
{
public:
    struct Options
    {
        ObjectStore &store;
        StoreBudget::Options budget;
        // Ends all waits when it becomes true.
        const std::atomic<bool> &stopping;
    };

    explicit BudgetedStore(Options options);
    ~BudgetedStore() override;

    Result<StoredObject> read(const std::string &key) override;
    Result<ObjectVersion> write(const std::string &key, const std::string &value, ObjectVersion expected) override;
    Result<void> remove(const std::string &key, ObjectVersion expected) override;
    Result<std::vector<std::string>> list(const std::string &prefix) override;
    Result<StoredObject> watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit) override;

    // Waits for the backoff time after a failure and returns it.
    Milliseconds backOff();

    // Resets the backoff after a successful call.
    void succeeded();

    // Waits for a random time up to the given one.
    void pauseUpTo(Milliseconds maxTime);

    // Waits for that time, or until the node stops.
    void pause(Milliseconds time);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
