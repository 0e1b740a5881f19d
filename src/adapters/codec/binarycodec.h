#pragma once

#include "common/error.h"
#include "core/calls/loadreport.h"
#include "core/config/configbundle.h"
#include "core/customers/leasemessages.h"
#include "core/fleet/gossipmessage.h"
#include "core/fleet/storereading.h"
#include "core/quarantine/targetend.h"
#include "core/rollouts/versioncounts.h"

#include <string>
#include <vector>

namespace Galenahill {

// CAF's binary serialization of the messages between nodes. Decoding fails with Corrupt if the
// input is truncated, invalid or followed by further bytes.
std::string encode(const GossipMessage &message);
Result<GossipMessage> decodeGossip(const std::string &bytes);

// Load reports are sent to the gossip port; the first byte distinguishes them from gossip.
std::string encode(const LoadReport &report);
bool isLoadReport(const std::string &bytes);
Result<LoadReport> decodeLoadReport(const std::string &bytes);

// Rollout reports are sent to the gossip port as well, with another first byte.
std::string encode(const RolloutReport &report);
bool isRolloutReport(const std::string &bytes);
Result<RolloutReport> decodeRolloutReport(const std::string &bytes);

// So are the messages about leased tokens of customers.
std::string encode(const LeaseMessage &message);
bool isLeaseMessage(const std::string &bytes);
Result<LeaseMessage> decodeLeaseMessage(const std::string &bytes);

// So are the messages about requests under which targets ended.
std::string encode(const QuarantineMessage &message);
bool isQuarantineMessage(const std::string &bytes);
Result<QuarantineMessage> decodeQuarantineMessage(const std::string &bytes);

// So are readings of the store.
std::string encode(const StoreReading &reading);
bool isStoreReading(const std::string &bytes);
Result<StoreReading> decodeStoreReading(const std::string &bytes);

std::string encode(const std::vector<MemberRecord> &records);
Result<std::vector<MemberRecord>> decodeMembers(const std::string &bytes);

std::string encode(const ConfigBundle &bundle);
Result<ConfigBundle> decodeBundle(const std::string &bytes);

}
