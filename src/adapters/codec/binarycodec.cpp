#include "adapters/codec/binarycodec.h"

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <caf/execution_unit.hpp>

namespace Galenahill {

namespace {

// Above every kind of gossip message, whose first byte is its kind.
constexpr char LoadReportMark = 'L';
constexpr char RolloutReportMark = 'R';

bool hasMark(const std::string &bytes, char mark)
{
    return !bytes.empty() && bytes.front() == mark;
}

template <typename Value>
std::string encodeValue(const Value &value)
{
    std::vector<char> buffer;
    caf::binary_serializer sink(static_cast<caf::execution_unit *>(nullptr), buffer);
    // Writing to memory can't fail; the serializer takes its argument by
    // mutable reference though it only reads.
    const auto ignored = sink(const_cast<Value &>(value));
    (void)ignored;
    return {buffer.begin(), buffer.end()};
}

template <typename Value>
Result<Value> decodeValue(const std::string &bytes, const char *what)
{
    Value value;
    caf::binary_deserializer source(nullptr, bytes.data(), bytes.size());
    if (source(value)) {
        return failure(ErrorKind::Corrupt, std::string(what) + " doesn't decode; check that all nodes run the same version");
    }
    if (source.remaining() != 0) {
        return failure(ErrorKind::Corrupt, std::string(what) + " has bytes left over; check that all nodes run the same version");
    }
    return value;
}

}

std::string encode(const GossipMessage &message)
{
    return encodeValue(message);
}

Result<GossipMessage> decodeGossip(const std::string &bytes)
{
    auto message = decodeValue<GossipMessage>(bytes, "datagram");
    if (message && message->kind > GossipKind::Introduce) {
        return failure(ErrorKind::Corrupt, "datagram of unknown kind; check that all nodes run the same version");
    }
    return message;
}

std::string encode(const LoadReport &report)
{
    return LoadReportMark + encodeValue(report);
}

bool isLoadReport(const std::string &bytes)
{
    return hasMark(bytes, LoadReportMark);
}

Result<LoadReport> decodeLoadReport(const std::string &bytes)
{
    if (!isLoadReport(bytes)) {
        return failure(ErrorKind::Corrupt, "load report without its mark; check that all nodes run the same version");
    }
    return decodeValue<LoadReport>(bytes.substr(1), "load report");
}

std::string encode(const RolloutReport &report)
{
    return RolloutReportMark + encodeValue(report);
}

bool isRolloutReport(const std::string &bytes)
{
    return hasMark(bytes, RolloutReportMark);
}

Result<RolloutReport> decodeRolloutReport(const std::string &bytes)
{
    if (!isRolloutReport(bytes)) {
        return failure(ErrorKind::Corrupt, "rollout report without its mark; check that all nodes run the same version");
    }
    return decodeValue<RolloutReport>(bytes.substr(1), "rollout report");
}

std::string encode(const std::vector<MemberRecord> &records)
{
    return encodeValue(records);
}

Result<std::vector<MemberRecord>> decodeMembers(const std::string &bytes)
{
    return decodeValue<std::vector<MemberRecord>>(bytes, "member list");
}

std::string encode(const ConfigBundle &bundle)
{
    return encodeValue(bundle);
}

Result<ConfigBundle> decodeBundle(const std::string &bytes)
{
    return decodeValue<ConfigBundle>(bytes, "configuration bundle");
}

}
