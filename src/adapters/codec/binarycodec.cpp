#include "adapters/codec/binarycodec.h"

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <caf/execution_unit.hpp>

namespace Galenahill {

namespace {

// First byte of these reports. A gossip message begins with its kind, which is always smaller.
constexpr char LoadReportType = 'L';
constexpr char RolloutReportType = 'R';
constexpr char LeaseMessageType = 'T';
constexpr char QuarantineMessageType = 'Q';
constexpr char StoreReadingType = 'S';

bool hasType(const std::string &bytes, char type)
{
    return !bytes.empty() && bytes.front() == type;
}

template <typename Value>
std::string encodeValue(const Value &value)
{
    std::vector<char> buffer;
    caf::binary_serializer sink(static_cast<caf::execution_unit *>(nullptr), buffer);
    // Writing to memory can't fail. The serializer takes a mutable reference, but only reads.
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
        return failure(ErrorKind::Corrupt, std::string(what) + " can't be decoded; check that all nodes run the same version");
    }
    if (source.remaining() != 0) {
        return failure(ErrorKind::Corrupt, std::string(what) + " has unexpected trailing bytes; check that all nodes run the same version");
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
    if (message && message->kind > GossipKind::RecordRequest) {
        return failure(ErrorKind::Corrupt, "datagram of unknown kind; check that all nodes run the same version");
    }
    return message;
}

std::string encode(const LoadReport &report)
{
    return LoadReportType + encodeValue(report);
}

bool isLoadReport(const std::string &bytes)
{
    return hasType(bytes, LoadReportType);
}

Result<LoadReport> decodeLoadReport(const std::string &bytes)
{
    if (!isLoadReport(bytes)) {
        return failure(ErrorKind::Corrupt, "load report has an unexpected type byte; check that all nodes run the same version");
    }
    return decodeValue<LoadReport>(bytes.substr(1), "load report");
}

std::string encode(const RolloutReport &report)
{
    return RolloutReportType + encodeValue(report);
}

bool isRolloutReport(const std::string &bytes)
{
    return hasType(bytes, RolloutReportType);
}

Result<RolloutReport> decodeRolloutReport(const std::string &bytes)
{
    if (!isRolloutReport(bytes)) {
        return failure(ErrorKind::Corrupt, "rollout report has an unexpected type byte; check that all nodes run the same version");
    }
    return decodeValue<RolloutReport>(bytes.substr(1), "rollout report");
}

std::string encode(const LeaseMessage &message)
{
    return LeaseMessageType + encodeValue(message);
}

bool isLeaseMessage(const std::string &bytes)
{
    return hasType(bytes, LeaseMessageType);
}

Result<LeaseMessage> decodeLeaseMessage(const std::string &bytes)
{
    if (!isLeaseMessage(bytes)) {
        return failure(ErrorKind::Corrupt, "lease message has an unexpected type byte; check that all nodes run the same version");
    }
    return decodeValue<LeaseMessage>(bytes.substr(1), "lease message");
}

std::string encode(const QuarantineMessage &message)
{
    return QuarantineMessageType + encodeValue(message);
}

bool isQuarantineMessage(const std::string &bytes)
{
    return hasType(bytes, QuarantineMessageType);
}

Result<QuarantineMessage> decodeQuarantineMessage(const std::string &bytes)
{
    if (!isQuarantineMessage(bytes)) {
        return failure(ErrorKind::Corrupt, "quarantine message has an unexpected type byte; check that all nodes run the same version");
    }
    return decodeValue<QuarantineMessage>(bytes.substr(1), "quarantine message");
}

std::string encode(const StoreReading &reading)
{
    return StoreReadingType + encodeValue(reading);
}

bool isStoreReading(const std::string &bytes)
{
    return hasType(bytes, StoreReadingType);
}

Result<StoreReading> decodeStoreReading(const std::string &bytes)
{
    if (!isStoreReading(bytes)) {
        return failure(ErrorKind::Corrupt, "store reading has an unexpected type byte; check that all nodes run the same version");
    }
    return decodeValue<StoreReading>(bytes.substr(1), "store reading");
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
