#include "core/config/manifest.h"

#include "common/boundedjson.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

// Well above any revision that is ever reached. In a damaged head, a number near the type's maximum
// would make the next revision wrap around to zero, which no node adopts.
constexpr std::uint64_t MaxRevision = std::uint64_t(1) << 62;

// Accepts only unsigned integers; the JSON library would otherwise silently convert negative
// numbers and fractions.
Revision revisionFrom(const nlohmann::json &json)
{
    if (!json.is_number_unsigned() || json.get<std::uint64_t>() > MaxRevision) {
        throw nlohmann::json::other_error::create(501, "a revision is not a whole number in range", nullptr);
    }
    return Revision(json.get<std::uint64_t>());
}

}

std::optional<AppliedChange> Manifest::change(const ApplyId &id) const
{
    const auto found = std::find_if(changes.begin(), changes.end(), [&](const auto &change) { return change.id == id; });
    return found == changes.end() ? std::nullopt : std::optional(*found);
}

std::optional<AppliedChange> Manifest::lastChange(const FileName &file) const
{
    const auto found = std::find_if(changes.rbegin(), changes.rend(), [&](const auto &change) { return change.file == file; });
    return found == changes.rend() ? std::nullopt : std::optional(*found);
}

bool Manifest::mayLackChangesAfter(Revision revision) const
{
    return changes.size() >= MaxChanges && changes.front().revision > revision;
}

void Manifest::record(AppliedChange change)
{
    changes.push_back(std::move(change));
    if (changes.size() > MaxChanges) {
        changes.erase(changes.begin());
    }
}

Result<Manifest> Manifest::at(Revision earlier) const
{
    if (earlier > revision || earlier == Revision() || mayLackChangesAfter(earlier)) {
        const auto oldest = changes.size() < MaxChanges ? Revision(1) : changes.front().revision;
        return failure(ErrorKind::NotFound, fmt::format("revision {} isn't kept; revisions {} to {} are", earlier.value(), oldest.value(), revision.value()));
    }
    Manifest result = *this;
    while (!result.changes.empty() && result.changes.back().revision > earlier) {
        const auto &undone = result.changes.back();
        if (undone.previous == ContentHash()) {
            result.files.erase(undone.file);
        } else {
            result.files[undone.file] = undone.previous;
        }
        result.changes.pop_back();
    }
    result.revision = earlier;
    return result;
}

std::vector<ContentHash> Manifest::retained() const
{
    std::vector<ContentHash> hashes;
    for (const auto &change : changes) {
        if (change.previous != ContentHash()) {
            hashes.push_back(change.previous);
        }
    }
    return hashes;
}

std::string Manifest::toJson() const
{
    nlohmann::json json;
    json["revision"] = revision.value();
    json["files"] = nlohmann::json::object();
    for (const auto &[name, hash] : files) {
        json["files"][name.value()] = hash.value();
    }
    json["changes"] = nlohmann::json::array();
    for (const auto &change : changes) {
        json["changes"].push_back({{"id", change.id.value()},
            {"revision", change.revision.value()},
            {"file", change.file.value()},
            {"operator", change.operatorName},
            {"time", change.time},
            {"removed", change.removed},
            {"previous", change.previous.value()}});
    }
    return json.dump();
}

Result<Manifest> Manifest::fromJson(const std::string &text)
{
    try {
        const auto json = parseJson(text);
        Manifest manifest;
        manifest.revision = revisionFrom(json.at("revision"));
        for (const auto &[name, hash] : json.at("files").items()) {
            manifest.files.emplace(FileName(name), ContentHash(hash.get<std::string>()));
        }
        for (const auto &change : json.at("changes")) {
            manifest.changes.push_back({ApplyId(change.at("id").get<std::string>()),
                revisionFrom(change.at("revision")),
                FileName(change.at("file").get<std::string>()),
                change.at("operator").get<std::string>(),
                change.at("time").get<std::int64_t>(),
                change.at("removed").get<bool>(),
                ContentHash(change.at("previous").get<std::string>())});
        }
        return manifest;
    } catch (const std::exception &error) {
        return failure(ErrorKind::Corrupt, std::string("config/head can't be decoded: ") + error.what() + "; restore the object from a backup");
    }
}

}
