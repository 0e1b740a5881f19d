#include "core/manifest.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Galenahill {

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

void Manifest::record(AppliedChange change)
{
    changes.push_back(std::move(change));
    if (changes.size() > MaxChanges) {
        changes.erase(changes.begin());
    }
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
            {"removed", change.removed}});
    }
    return json.dump();
}

Result<Manifest> Manifest::fromJson(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Manifest manifest;
        manifest.revision = Revision(json.at("revision").get<std::uint64_t>());
        for (const auto &[name, hash] : json.at("files").items()) {
            manifest.files.emplace(FileName(name), ContentHash(hash.get<std::string>()));
        }
        for (const auto &change : json.at("changes")) {
            manifest.changes.push_back({ApplyId(change.at("id").get<std::string>()),
                Revision(change.at("revision").get<std::uint64_t>()),
                FileName(change.at("file").get<std::string>()),
                change.at("operator").get<std::string>(),
                change.at("time").get<std::int64_t>(),
                change.at("removed").get<bool>()});
        }
        return manifest;
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorKind::Corrupt, std::string("config/head doesn't decode: ") + error.what() + "; restore the object from a backup");
    }
}

}
