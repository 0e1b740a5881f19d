#include "daemon/fleetquery.h"

#include "adapters/http/httpclient.h"

namespace Galenahill {

namespace {

// Enough to query 1,100 nodes in a few hundred milliseconds without opening all
// connections at once.
constexpr std::size_t MaxParallel = 64;

// A member's report of a few hundred kilobytes is expected in a large fleet.
constexpr std::uint64_t MaxResponseBytes = 1024 * 1024;

struct Query
{
    HttpClient &client;
    std::string resource;
    Milliseconds timeLimit;
    std::vector<MemberResponse> responses;
    std::size_t next = 0;
};

asio::awaitable<void> queryNext(Query &query)
{
    while (query.next < query.responses.size()) {
        auto &memberResponse = query.responses[query.next++];
        if (memberResponse.member.state == MemberState::Gone) {
            continue;
        }
        HttpRequest request(http::verb::get, query.resource, 11);
        request.set(http::field::host, toString(memberResponse.member.control()));
        request.keep_alive(false);
        auto response = co_await query.client.exchange(memberResponse.member.control(), std::move(request), Clock::now() + query.timeLimit);
        if (response && response->result() == http::status::ok) {
            memberResponse.body = std::move(response->body());
            memberResponse.received = Clock::now();
        }
    }
}

}

std::vector<MemberResponse> queryFleet(const std::vector<MemberRecord> &members, const std::string &resource, Milliseconds timeLimit)
{
    asio::io_context context(1);
    HttpClient client(context, {.maxBodyBytes = MaxResponseBytes});
    Query query{client, resource, timeLimit, {}};
    for (const auto &member : members) {
        query.responses.push_back({member, std::nullopt, {}});
    }
    for (std::size_t i = 0; i < std::min(MaxParallel, members.size()); ++i) {
        asio::co_spawn(context, queryNext(query), asio::detached);
    }
    context.run();
    return std::move(query.responses);
}

}
