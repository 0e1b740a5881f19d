#include "daemon/memberdirectory.h"
#include "scriptedstore.h"

#include <boost/test/unit_test.hpp>

using namespace Galenahill;

namespace {

MemberRecord record(const std::string &name)
{
    MemberRecord record;
    record.name = NodeName(name);
    record.dataCentre = DataCentre("rosario-a");
    record.service = ServiceName("ventas");
    record.address = "127.0.0.1";
    record.controlPort = 1;
    record.incarnation = 1000;
    return record;
}

DocumentSet contactsOf(const std::vector<std::string> &names)
{
    DocumentSet set;
    for (const auto &name : names) {
        set.documents.push_back({name, contactDocument(record(name)), false});
    }
    return set;
}

struct Fixture
{
    // Runs until the store has got that many calls, however slow the machine, and then
    // for a time in which unexpected further calls would be made.
    void run(std::size_t calls, Milliseconds afterwards)
    {
        MemberDirectory directory({.context = context,
            .store = store,
            .client = client,
            .self = record("b"),
            .firstStart = firstStart,
            .log = [this](LogLevel, std::string_view event, const std::vector<LogField> &) { events.emplace_back(event); },
            .storedMembersReceived =
                [this](const std::vector<MemberRecord> &members) {
                    for (const auto &member : members) {
                        peers.push_back(member.control());
                    }
                },
            .membersReceived = [](const std::vector<MemberRecord> &) {},
            .peerAddresses = [this] { return peers; },
            .isKnown = [](const NodeName &member) { return member == NodeName("a"); },
            .shouldSweep = [this] { return sweeps; },
            .sweepInterval = Milliseconds(50),
            .stopping = stopping});
        directory.start();
        const auto limit = Clock::now() + std::chrono::seconds(30);
        while (store.calledWith.size() < calls && Clock::now() < limit) {
            context.run_for(Milliseconds(10));
        }
        context.run_for(afterwards);
        lookupDone = directory.initialLookupDone();
        stopping = true;
    }

    asio::io_context context{1};
    HttpClient client{context, {}};
    ScriptedStore store{context};
    std::vector<Endpoint> peers;
    std::vector<std::string> events;
    bool stopping = false;
    bool sweeps = false;
    bool lookupDone = false;
    bool firstStart = true;
};

}

BOOST_FIXTURE_TEST_SUITE(directory, Fixture)

// Calls to the store are counted, and a whole fleet makes them when it starts: a node
// must need only one write and one list.
BOOST_AUTO_TEST_CASE(WritesAndReadsOnce)
{
    store.responses = {contactsOf({"a", "b"}), contactsOf({"a", "b"})};
    run(2, Milliseconds(1000));
    const std::vector<std::string> expected = {"put contacts b", "list contacts"};
    BOOST_TEST(store.calledWith == expected, boost::test_tools::per_element());
    BOOST_TEST(lookupDone);
}

// The write fails though the list succeeds. A node that starts at the same moment may
// list the contacts before this one is written, so the write has to be retried and the
// contacts listed once more after it.
BOOST_AUTO_TEST_CASE(ListsAgainAfterALateWrite)
{
    store.putResponse = failure(ErrorKind::Unavailable, "the store is unavailable");
    store.responses = {contactsOf({"a"}), contactsOf({"a", "b"}), contactsOf({"a", "b"})};
    asio::steady_timer timer(context, Milliseconds(100));
    timer.async_wait([this](const ErrorCode &) { store.putResponse = Result<void>(); });
    run(4, Milliseconds(1000));
    const std::vector<std::string> expected = {"put contacts b", "list contacts", "put contacts b", "list contacts"};
    BOOST_TEST(store.calledWith == expected, boost::test_tools::per_element());
}

// The first node of a fleet finds no other member. It continues to list the contacts,
// since the next node may be unable to reach the store.
BOOST_AUTO_TEST_CASE(ALoneNodeKeepsListing)
{
    store.responses = {contactsOf({"b"}), contactsOf({"a", "b"}), contactsOf({"a", "b"})};
    run(3, Milliseconds(50));
    BOOST_TEST(std::count(store.calledWith.begin(), store.calledWith.end(), "list contacts") == 2);
    BOOST_TEST(peers.size() == 1U);
}

// A VM was lost for good, and no member remembers it. Its contact is removed, provided
// that it still has the version that was read: a VM that comes back at that moment has
// rewritten it. Contacts of known members and of this node stay.
BOOST_AUTO_TEST_CASE(RemovesStaleContacts)
{
    sweeps = true;
    store.responses = {contactsOf({"a", "b"}), contactsOf({"a", "b", "lost"})};
    run(4, Milliseconds(10));
    const std::vector<std::string> expected = {"put contacts b", "list contacts", "list contacts", "remove contacts lost"};
    BOOST_REQUIRE(store.calledWith.size() >= 4U);
    BOOST_TEST(std::vector<std::string>(store.calledWith.begin(), store.calledWith.begin() + 4) == expected, boost::test_tools::per_element());
}

// Guards against one write by each node when a whole fleet restarts.
BOOST_AUTO_TEST_CASE(ARestartedNodeFindsItsContact)
{
    firstStart = false;
    store.responses = {contactsOf({"a", "b"})};
    run(1, Milliseconds(300));
    BOOST_TEST(store.calledWith == std::vector<std::string>({"list contacts"}), boost::test_tools::per_element());
}

// The contact was removed at a planned stop, or the VM is new.
BOOST_AUTO_TEST_CASE(ARestartedNodeWithoutAContactWritesOne)
{
    firstStart = false;
    store.responses = {contactsOf({"a"})};
    run(2, Milliseconds(300));
    BOOST_TEST(store.calledWith == std::vector<std::string>({"list contacts", "put contacts b"}), boost::test_tools::per_element());
}

// Guards against a port out of range that is truncated to a valid one.
BOOST_AUTO_TEST_CASE(ContactsWithInvalidNumbersAreRefused)
{
    const auto sound = contactDocument(record("a"));
    BOOST_TEST(contactFromDocument(sound).has_value());
    for (const std::string field : {"ingress-port", "sidecar-port", "control-port"}) {
        for (const std::string port : {"70000", "65536", "-1", "1.5", "1e30", "1e999", "\"8084\"", "null"}) {
            auto text = sound;
            const auto begin = text.find("\"" + field + "\":") + field.size() + 3;
            text.replace(begin, text.find_first_of(",}", begin) - begin, port);
            BOOST_TEST(!contactFromDocument(text).has_value(), text);
        }
    }
}

// Guards against a restarted node that never becomes ready: its first list fails, its write succeeds, and
// members that found it meanwhile make the lookup seem complete.
BOOST_AUTO_TEST_CASE(ARestartedNodeListsAgainAfterAFailedList)
{
    firstStart = false;
    peers.push_back(record("a").control());
    store.responses = {failure(ErrorKind::Unavailable, "the store is unavailable"), contactsOf({"a", "b"})};
    run(3, Milliseconds(300));
    BOOST_TEST(store.calledWith == std::vector<std::string>({"list contacts", "put contacts b", "list contacts"}), boost::test_tools::per_element());
    BOOST_TEST(lookupDone);
}

BOOST_AUTO_TEST_SUITE_END()
