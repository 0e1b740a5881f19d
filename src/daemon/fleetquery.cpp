#include "daemon/fleetquery.h"

#include "adapters/http/httpclient.h"

namespace Galenahill {

namespace {

// Enough to ask 1,100 nodes in a few hundred milliseconds without opening
// them all at once.
constexpr std::size_t MaxParallel = 64;

struct Query
{
    HttpClient &client;
    std::string resource;
    Milliseconds timeLimit;
    std::vector<MemberAnswer> answers;
    std::size_t next = 0;
};

asio::awaitable<void> askNext(Query &query)
{
    while (query.next < query.answers.size()) {
        auto &answer = query.answers[query.next++];
        if (answer.member.state == MemberState::Gone) {
            continue;
        }
        HttpRequest request(http::verb::get, query.resource, 11);
        request.set(http::field::host, toString(answer.member.control()));
        request.keep_alive(false);
        auto response = co_await query.client.exchange(answer.member.control(), std::move(request), Clock::now() + query.timeLimit);
        if (response && response->result() == http::status::ok) {
            answer.body = std::move(response->body());
        }
    }
}

}

std::vector<MemberAnswer> queryFleet(const std::vector<MemberRecord> &members, const std::string &resource, Milliseconds timeLimit)
{
    asio::io_context context(1);
    HttpClient client(context, {});
    Query query{client, resource, timeLimit, {}};
    for (const auto &member : members) {
        query.answers.push_back({member, std::nullopt});
    }
    for (std::size_t i = 0; i < std::min(MaxParallel, members.size()); ++i) {
        asio::co_spawn(context, askNext(query), asio::detached);
    }
    context.run();
    return std::move(query.answers);
}

}
