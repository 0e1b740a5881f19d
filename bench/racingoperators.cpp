#include "racingoperators.h"

#include "cli/nodeconnection.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace Galenahill {

namespace {

// One of this many applies of an operator is of an invalid file.
constexpr std::size_t InvalidFileInterval = 5;

// Invalid, since its route names a service that no file defines.
constexpr const char *InvalidFileText = "[route hanging]\npath = /hanging\nmethods = GET\nservice = venta\nidempotent = yes\ntimeout-ms = 1000\n";

}

class RacingOperators::Private
{
public:
    Options options;
    std::atomic<bool> stopping = false;
    TimePoint begin = Clock::now();
    std::mutex mutex;
    std::vector<ApplyRecord> records;
    std::vector<std::thread> threads;

    void runOperator(std::size_t number);
    ApplyRecord applyOne(std::size_t number, std::size_t sequence, std::mt19937_64 &random) const;
};

RacingOperators::RacingOperators(Options options)
    : d(std::make_unique<Private>())
{
    d->options = std::move(options);
    for (std::size_t number = 0; number < d->options.operators; ++number) {
        d->threads.emplace_back([this, number] { d->runOperator(number); });
    }
}

RacingOperators::~RacingOperators()
{
    stop();
}

std::vector<ApplyRecord> RacingOperators::stop()
{
    d->stopping = true;
    for (auto &thread : d->threads) {
        thread.join();
    }
    d->threads.clear();
    return std::move(d->records);
}

ApplyRecord RacingOperators::apply(const Endpoint &node, const std::string &id, const std::string &file, const std::string &text)
{
    NodeConnection connection(node);
    const auto result = connection.call("apply", {{"apply", id}, {"file", file}, {"text", text}, {"operator", "faults"}});
    ApplyRecord record{ApplyId(id)};
    if (!result) {
        record.error = result.error().kind;
    }
    record.endedAt = Clock::now();
    return record;
}

ApplyRecord RacingOperators::Private::applyOne(std::size_t number, std::size_t sequence, std::mt19937_64 &random) const
{
    const auto &node = options.nodes[random() % options.nodes.size()];
    const auto id = fmt::format("operator{}-{}", number, sequence);
    if (sequence % InvalidFileInterval == InvalidFileInterval - 1) {
        auto record = apply(node, id, "hanging.ini", InvalidFileText);
        record.hasInvalidFile = true;
        return record;
    }
    const auto &[name, text] = options.files[random() % options.files.size()];
    return apply(node, id, name, fmt::format("{}\n; {}\n", text, id));
}

void RacingOperators::Private::runOperator(std::size_t number)
{
    std::mt19937_64 random(options.seed * options.operators + number);
    for (std::size_t sequence = 1; !stopping; ++sequence) {
        // All operators wait until the same moment, so that their applies conflict.
        const auto passed = (Clock::now() - begin) / options.interval;
        const auto next = begin + (passed + 1) * options.interval;
        while (!stopping && Clock::now() < next) {
            std::this_thread::sleep_for(std::min<Clock::duration>(Milliseconds(50), next - Clock::now()));
        }
        if (stopping) {
            break;
        }
        auto record = applyOne(number, sequence, random);
        const std::lock_guard lock(mutex);
        records.push_back(std::move(record));
    }
}

}
