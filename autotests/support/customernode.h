#pragma once

#include "daemon/calls/callmessages.h"
#include "httptest.h"
#include "memorydocumentstore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Galenahill {

// A PlatformNode with real sockets whose configuration has customers, beside a target that records the
// calls that it gets, and with a second member that records what the node sends to other nodes.
// Customers: `sur` with two keys and priority 0, and `norte` with one key and priority 3. The local
// target has one slot. Routes of the local target: /orders/ (priority 2) and /status/ (anonymous); of
// the second member: /mail/ and /news/ (anonymous).
class CustomerNode
{
public:
    // Addresses of the node and of the second member are those with these numbers.
    CustomerNode(int nodeAddress, int memberAddress);
    ~CustomerNode();

    struct Reply
    {
        int status = 0;
        std::string text;
    };

    // Sends a call through the ingress, with further header lines, each ended by CRLF.
    Reply call(const std::string &path, const std::string &id, const std::string &fields = {});

    // Sends a call to the node's port for other nodes, as they forward it.
    Reply forward(const std::string &path, const std::string &id, const std::string &fields);

    // The text of a request to the ingress that keeps its connection open.
    static std::string request(const std::string &path, const std::string &id, const std::string &fields = {});

    // Waits for calls that run at the target until they are released.
    void waitForHeld(std::size_t count);
    void release();

    // Writes a configuration document to the store; `adopt` also waits until the node has that revision.
    void store(const std::string &document);
    void adopt(std::uint64_t revision, const std::string &document);
    std::string metrics() const;

    // Requests that the target, and the second member as a sidecar, received for calls with the id.
    std::vector<HttpRequest> atTarget(const std::string &id);
    std::vector<HttpRequest> atMember(const std::string &id);

    // All that the target received, and all else that the node wrote: log lines, datagrams, forwarded
    // calls, documents in the store.
    std::string receivedByTarget();
    std::string written();
    std::string logged();

    Endpoint ingress() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

// A configuration document of that revision whose customer `sur` has these keys, as JSON strings.
std::string documentWithCustomers(std::uint64_t revision, const std::string &keysOfSur);

inline constexpr const char *KeyOfSur = "clave-sur-71a";
inline constexpr const char *SecondKeyOfSur = "clave-sur-72b";
inline constexpr const char *KeyOfNorte = "clave-norte-9";

std::string bearer(const std::string &key);

}
