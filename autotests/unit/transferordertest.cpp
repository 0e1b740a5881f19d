#include "core/calls/transferorder.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;
using Rank = TransferOrder::Rank;
using Transfer = TransferOrder::Transfer;

namespace {

constexpr TimePoint Now{std::chrono::seconds(10)};
constexpr Milliseconds Margin{10};

Transfer transfer(std::uint64_t ticket, Milliseconds linkTime, Milliseconds objective, Milliseconds deadline, bool started = false)
{
    return {ResponseTicket(ticket), Now + objective, Now + deadline, linkTime, started};
}

std::vector<std::uint64_t> order(std::vector<Transfer> transfers)
{
    std::vector<std::uint64_t> tickets;
    const TransferOrder order(std::move(transfers), Now, Margin);
    for (const auto ticket : order.tickets()) {
        tickets.push_back(ticket.value());
    }
    return tickets;
}

}

// Guards against starving a long response that is being sent until it cannot meet its deadline any more.
BOOST_AUTO_TEST_CASE(StartedResponseThatCannotWaitGoesFirst)
{
    const auto shorter = transfer(1, Milliseconds(50), Milliseconds(1000), Milliseconds(4000));
    BOOST_TEST((order({shorter, transfer(2, Milliseconds(400), Milliseconds(0), Milliseconds(411), true)}) == std::vector<std::uint64_t>{1, 2}));
    BOOST_TEST((order({shorter, transfer(2, Milliseconds(400), Milliseconds(0), Milliseconds(410), true)}) == std::vector<std::uint64_t>{2, 1}));
}

// Guards against two responses that could each wait alone, but not both.
BOOST_AUTO_TEST_CASE(DeadlinesAreMetTogether)
{
    const TransferOrder transfers({transfer(1, Milliseconds(50), Milliseconds(1000), Milliseconds(4000)),
                                      transfer(2, Milliseconds(300), Milliseconds(0), Milliseconds(600), true),
                                      transfer(3, Milliseconds(300), Milliseconds(0), Milliseconds(605), true)},
        Now,
        Margin);
    BOOST_TEST((transfers.tickets() == std::vector<ResponseTicket>{ResponseTicket(2), ResponseTicket(1), ResponseTicket(3)}));
    BOOST_TEST((transfers.rankOf(ResponseTicket(2)) == Rank::Urgent));
    BOOST_TEST((transfers.rankOf(ResponseTicket(3)) == Rank::Late));
    BOOST_TEST((transfers.rankOf(ResponseTicket(1)) == Rank::OnTime));
}

// Guards against one long response that makes several others miss their deadlines.
BOOST_AUTO_TEST_CASE(LongestGivesWayIfNotAllCanBeInTime)
{
    const TransferOrder transfers({transfer(1, Milliseconds(400), Milliseconds(0), Milliseconds(500)),
                                      transfer(2, Milliseconds(200), Milliseconds(0), Milliseconds(500)),
                                      transfer(3, Milliseconds(200), Milliseconds(0), Milliseconds(500))},
        Now,
        Margin);
    BOOST_TEST((transfers.rankOf(ResponseTicket(1)) == Rank::Hopeless));
    BOOST_TEST((transfers.rankOf(ResponseTicket(2)) != Rank::Hopeless));
    BOOST_TEST((transfers.rankOf(ResponseTicket(3)) != Rank::Hopeless));
    BOOST_TEST(transfers.tickets().back() == ResponseTicket(1));
}

// Guards against a long response that is on time only at the expense of two others.
BOOST_AUTO_TEST_CASE(MostResponsesAreOnTime)
{
    BOOST_TEST((order({transfer(1, Milliseconds(300), Milliseconds(310), Milliseconds(4000)),
                    transfer(2, Milliseconds(200), Milliseconds(400), Milliseconds(4000)),
                    transfer(3, Milliseconds(100), Milliseconds(350), Milliseconds(4000))})
        == std::vector<std::uint64_t>{3, 2, 1}));
}

// Guards against using the link for a response that is given up for one that has not been started.
BOOST_AUTO_TEST_CASE(StartedResponseGivesWayLast)
{
    const TransferOrder transfers(
        {transfer(1, Milliseconds(400), Milliseconds(0), Milliseconds(500), true), transfer(2, Milliseconds(200), Milliseconds(0), Milliseconds(500))},
        Now,
        Margin);
    BOOST_TEST((transfers.rankOf(ResponseTicket(1)) != Rank::Hopeless));
    BOOST_TEST((transfers.rankOf(ResponseTicket(2)) == Rank::Hopeless));
}
