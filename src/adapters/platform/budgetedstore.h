#pragma once

#include "core/config/storebudget.h"
#include "ports/objectstore.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Galenahill {

// The store as the node's standing work sees it: each call waits until the
// budget allows it. Usable from several threads.
class BudgetedStore : public ObjectStore
{
public:
    struct Options
    {
        ObjectStore &store;
        StoreBudget::Options budget;
        // Ends waits when it becomes true.
        const std::atomic<bool> &stopping;
    };

    explicit BudgetedStore(Options options);
    ~BudgetedStore() override;

    Result<StoredObject> read(const std::string &key) override;
    Result<ObjectVersion> write(const std::string &key, const std::string &value, ObjectVersion expected) override;
    Result<void> remove(const std::string &key, ObjectVersion expected) override;
    Result<std::vector<std::string>> list(const std::string &prefix) override;
    Result<StoredObject> watch(const std::string &key, ObjectVersion known, Milliseconds timeLimit) override;

    // Waits out the backoff after a failure; gives its length.
    Milliseconds backOff();

    // A call succeeded; the next failure begins with a short backoff.
    void succeeded();

    // Waits for a random time of up to the one given.
    void pauseUpTo(Milliseconds most);

    // Waits; less if the node stops.
    void pause(Milliseconds time);

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
