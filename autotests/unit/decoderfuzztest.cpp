#include "adapters/codec/binarycodec.h"
#include "adapters/codec/deltacodec.h"
#include "core/config/configsnapshot.h"
#include "core/config/nodesettings.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <sys/resource.h>

using namespace Galenahill;

namespace {

constexpr int Rounds = 3000;

// Enough for every well-formed input of these tests, and much less than a forged length asks for.
constexpr rlim_t MemoryLimit = rlim_t(1) << 30;

// Changes the text in a few places: flipped bits, bytes from a small set that parsers treat
// specially, pieces removed, duplicated or moved.
class Mutator
{
public:
    explicit Mutator(unsigned seed)
        : m_random(seed)
    {
    }

    std::string mutate(std::string text)
    {
        const auto changes = 1 + m_random() % 6;
        for (std::size_t i = 0; i < changes; ++i) {
            change(text);
        }
        return text;
    }

private:
    void change(std::string &text)
    {
        if (text.empty()) {
            text = "[";
        }
        const auto at = m_random() % text.size();
        const auto length = m_random() % std::min<std::size_t>(text.size() - at + 1, 64);
        switch (m_random() % 6) {
        case 0:
            text[at] = static_cast<char>(text[at] ^ (1 << m_random() % 8));
            break;
        case 1:
            text[at] = Special[m_random() % Special.size()];
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            text.insert(at, text.substr(at, length));
            break;
        case 4:
            text.insert(at, std::string(1 + m_random() % 16, Special[m_random() % Special.size()]));
            break;
        default:
            text.resize(at);
            break;
        }
    }

    inline static const std::string Special = std::string("\xff\x7f\x80=[];#\n\r \"{},:0-9.") + '\0';

    std::mt19937 m_random;
};

const std::string Example = "; example\n[service ventas]\ndata-centres = rosario-a, rosario-b\nslots = 6\nconnections = 120\n\n"
                            "[route pedidos]\npath = /ventas\nmethods = POST, PUT\nservice = ventas\nidempotent = no\ntimeout-ms = 1000\n"
                            "slo-availability = 99.9\nslo-latency-ms = 100\n";

const std::string Settings = "[node]\nname = vm-1\ndata-centre = rosario-a\naddress = 10.0.0.1\ningress-port = 8080\nsidecar-port = 8081\n"
                             "control-port = 8082\n[target]\nservice = ventas\naddress = 10.0.0.1\nport = 9000\n[platform]\naddress = 10.0.0.2\nport = 7000\n"
                             "[fleet]\nseeds = 10.0.0.3:8082, 10.0.0.4:8082\n";

ConfigBundle bundle()
{
    ConfigBundle result;
    result.files.push_back({FileName("f.ini"), Example});
    result.manifest.revision = Revision(7);
    result.manifest.files.emplace(FileName("f.ini"), ContentHash("0123456789abcdef"));
    result.manifest.record({ApplyId("a"), Revision(7), FileName("f.ini"), "ana", 12, false, ContentHash("fedcba")});
    return result;
}

std::vector<MemberRecord> members()
{
    MemberRecord record;
    record.name = NodeName("vm-1");
    record.dataCentre = DataCentre("rosario-a");
    record.address = "10.0.0.1";
    return {record, record, record};
}

// Runs the decoder on many damaged forms of the input. A crash ends the program; an error must have
// a message.
template <typename Reader>
void fuzz(const std::string &input, Reader read)
{
    BOOST_REQUIRE(read(input));
    std::size_t rejected = 0;
    for (unsigned seed = 0; seed < Rounds; ++seed) {
        const auto result = read(Mutator(seed).mutate(input));
        if (!result) {
            ++rejected;
            BOOST_TEST(!result.error().message.empty(), "seed " << seed);
        }
    }
    BOOST_TEST_MESSAGE("rejected " << rejected << " of " << Rounds);
    BOOST_TEST(rejected > 0U);
}

// The bytes with the length in front of the text replaced by one of four gigabytes.
std::string withForgedLength(std::string bytes, const std::string &text)
{
    const auto at = bytes.find(text);
    BOOST_REQUIRE(at != std::string::npos && at > 0);
    return bytes.replace(at - 1, 1, std::string("\xff\xff\xff\xff\x0f", 5));
}

struct LimitedMemory
{
    LimitedMemory()
    {
        const rlimit limit{MemoryLimit, MemoryLimit};
        setrlimit(RLIMIT_AS, &limit);
    }
};

}

// CAF allocates memory for a text only after checking that the input has as many bytes; the tests
// with a forged length guard that.
//
// Data from files, the store and other nodes may be damaged or forged. No decoder may crash,
// allocate memory according to a length that it was sent, or fail without a message. The address
// space is limited, so that such an allocation fails.
BOOST_TEST_GLOBAL_FIXTURE(LimitedMemory);

BOOST_AUTO_TEST_CASE(Validator)
{
    fuzz(Example, [](const std::string &text) { return ConfigSnapshot::validate({{FileName("f.ini"), text}}); });
}

BOOST_AUTO_TEST_CASE(SettingsReader)
{
    fuzz(Settings, [](const std::string &text) { return NodeSettings::parse("f.ini", text); });
}

BOOST_AUTO_TEST_CASE(ManifestReader)
{
    fuzz(bundle().manifest.toJson(), Manifest::fromJson);
    BOOST_TEST(!Manifest::fromJson(std::string(200000, '[')).has_value());
    BOOST_TEST(!Manifest::fromJson(R"({"revision":18446744073709551615,"files":{},"changes":[]})").has_value());
    BOOST_TEST(!Manifest::fromJson(R"({"revision":-1,"files":{},"changes":[]})").has_value());
}

BOOST_AUTO_TEST_CASE(DatagramReader)
{
    GossipMessage message;
    message.updates = members();
    fuzz(encode(message), decodeGossip);
    BOOST_TEST(!decodeGossip(withForgedLength(encode(message), "vm-1")).has_value());
}

BOOST_AUTO_TEST_CASE(LoadReportReader)
{
    LoadReport report;
    report.targets = {{.target = NodeName("vm-1"), .incarnation = 5, .calls = 3, .limit = 6}, {.target = NodeName("vm-2")}};
    report.pools = {{.dataCentre = DataCentre("rosario-a"), .service = ServiceName("ventas"), .calls = 30, .limit = 60}};
    fuzz(encode(report), decodeLoadReport);
    BOOST_TEST(!decodeLoadReport(withForgedLength(encode(report), "vm-1")).has_value());
    BOOST_TEST(!decodeLoadReport(encode(GossipMessage())).has_value());
    BOOST_TEST(!isLoadReport(encode(GossipMessage())));
}

BOOST_AUTO_TEST_CASE(RolloutReportReader)
{
    RolloutReport report;
    report.records
        = {{.spec = {ServiceName("ventas"), TargetVersion("v2"), Milliseconds(12000), ObjectVersion(5)}, .storeVersion = ObjectVersion(6), .reason = "slow"}};
    TargetCounts counts{.node = NodeName("vm-1"), .process = 3, .service = ServiceName("ventas"), .version = TargetVersion("v2")};
    counts.routes = {{RouteName("pedidos"), 5, 1, {{7, 4}, {40, 1}}}};
    report.counts = {counts};
    fuzz(encode(report), decodeRolloutReport);
    BOOST_TEST((decodeRolloutReport(encode(report))->records.front().spec.duration == Milliseconds(12000)));
    BOOST_TEST((decodeRolloutReport(encode(report))->counts.front().routes == counts.routes));
    BOOST_TEST(!decodeRolloutReport(withForgedLength(encode(report), "vm-1")).has_value());
    BOOST_TEST(!isRolloutReport(encode(LoadReport())));
}

BOOST_AUTO_TEST_CASE(LeaseMessageReader)
{
    LeaseMessage message{.revision = 7};
    message.requests = {{.customer = CustomerHash(11), .sequence = 3, .waiting = 2, .ahead = 5}};
    message.answers = {{.customer = CustomerHash(12), .sequence = 4, .tokens = 9, .deniedFor = 1, .retryAfter = 20}};
    message.returns = {{.customer = CustomerHash(13), .sequence = 5, .tokens = 300}};
    fuzz(encode(message), decodeLeaseMessage);
    BOOST_TEST(decodeLeaseMessage(encode(message))->returns.front().tokens == 300);
    BOOST_TEST(!isLeaseMessage(encode(GossipMessage())));
}

BOOST_AUTO_TEST_CASE(MemberReader)
{
    fuzz(encode(members()), decodeMembers);
    BOOST_TEST(!decodeMembers(withForgedLength(encode(members()), "vm-1")).has_value());
}

BOOST_AUTO_TEST_CASE(BundleReader)
{
    fuzz(encode(bundle()), decodeBundle);
    BOOST_TEST(!decodeBundle(withForgedLength(encode(bundle()), "fedcba")).has_value());
}

BOOST_AUTO_TEST_CASE(DeltaReader)
{
    const auto delta = compressDelta(Example + "; more\n", Example);
    fuzz(delta, [](const std::string &bytes) { return expandDelta(bytes, Example); });
}
