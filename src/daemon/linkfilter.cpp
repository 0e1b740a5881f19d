#include "daemon/linkfilter.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

namespace Galenahill {

class LinkFilter::Private
{
public:
    mutable std::mutex mutex;
    std::map<std::string, double> losses;
    std::mt19937_64 random;

    double loss(const std::string &address) const
    {
        const auto found = losses.find(address);
        return found == losses.end() ? 0 : found->second;
    }
};

LinkFilter::LinkFilter(std::uint64_t seed)
    : d(std::make_unique<Private>())
{
    d->random.seed(seed);
}

LinkFilter::~LinkFilter() = default;

Result<void> LinkFilter::set(const std::string &text)
{
    try {
        auto losses = nlohmann::json::parse(text).get<std::map<std::string, double>>();
        const std::lock_guard lock(d->mutex);
        d->losses = std::move(losses);
        return {};
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorKind::Invalid, std::string("invalid link loss rates: ") + error.what() + R"(; expected an object such as {"127.70.1.3": 0.5})");
    }
}

bool LinkFilter::passes(const std::string &address)
{
    const std::lock_guard lock(d->mutex);
    return std::uniform_real_distribution<double>(0, 1)(d->random) >= d->loss(address);
}

bool LinkFilter::connects(const std::string &address) const
{
    const std::lock_guard lock(d->mutex);
    return d->loss(address) < 1;
}

}
