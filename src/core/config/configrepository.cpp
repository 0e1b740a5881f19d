#include "core/config/configrepository.h"

#include "core/config/configlimits.h"
#include "core/config/configtext.h"
#include "core/config/contenthash.h"
#include "core/config/historymerge.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

namespace {

const std::string HeadKey = "config/head";

// Value size limit of the platform's store, minus a reserve for its envelope.
constexpr std::size_t MaxHeadBytes = 1000 * 1000;

// Attempts to write the head before an apply fails. Each conflict means that another operator's
// apply was accepted, so the system as a whole still makes progress.
constexpr int MaxAttempts = 16;

// Retries of a head write whose response was lost. Together with the store's timeout this must stay
// below the timeout of the operator's client.
constexpr int MaxHeadWriteRetries = 3;

std::string blobKey(const ContentHash &hash)
{
    return "config/blob/" + hash.value();
}

// Describes why the request can't be recorded; empty if it can. Ids and names are printed on other
// operators' terminals and kept in the head.
std::string requestError(const ApplyRequest &request)
{
    if (!isPlainLine(request.id.value(), ConfigLimits::MaxFileNameLength)) {
        return fmt::format("apply id: give 1 to {} printable characters, or none to have one generated", ConfigLimits::MaxFileNameLength);
    }
    if (!isPlainLine(request.operatorName, ConfigLimits::MaxFileNameLength)) {
        return fmt::format("operator: give a name of 1 to {} printable characters with --operator", ConfigLimits::MaxFileNameLength);
    }
    return {};
}

// Replaces the file of the same name, keeping the files sorted by name. The order decides which of
// two contradicting files an error names.
void replaceFile(std::vector<ConfigFile> &files, const ConfigFile &file)
{
    std::erase_if(files, [&](const auto &present) { return present.name == file.name; });
    const auto after = std::find_if(files.begin(), files.end(), [&](const auto &present) { return file.name < present.name; });
    files.insert(after, file);
}

tl::unexpected<Error> notAccepted(const ApplyRequest &request, const Error &error)
{
    if (!request.isRetry) {
        return failure(ErrorKind::Unavailable, "not accepted: " + error.message);
    }
    return failure(ErrorKind::OutcomeUnknown,
        fmt::format("{}: outcome unknown: this attempt of apply {} was not accepted, an earlier one may have been: {}; retry it once more",
            request.file.value(),
            request.id.value(),
            error.message));
}

std::string describe(const AppliedChange &change)
{
    return fmt::format("revision {} by {} (apply {})", change.revision.value(), change.operatorName, change.id.value());
}

}

ConfigRepository::ConfigRepository(Options options)
    : m_options(std::move(options))
{
}

Result<ConfigRepository::Head> ConfigRepository::readHead()
{
    const auto object = m_options.store.read(HeadKey);
    if (!object) {
        if (object.error().kind == ErrorKind::NotFound) {
            return Head{};
        }
        return tl::unexpected(object.error());
    }
    auto manifest = Manifest::fromJson(object->value);
    if (!manifest) {
        return tl::unexpected(manifest.error());
    }
    return Head{std::move(*manifest), object->version};
}

bool ConfigRepository::storeIsBehind(const Manifest &stored) const
{
    const auto current = m_options.inForce();
    const bool isOlder = m_options.highestKnownRevision() > stored.revision || (current && current->revision() > stored.revision);
    return isOlder || (current && lacksChanges(stored, current->bundle.manifest));
}

Result<ConfigBundle> ConfigRepository::readBundle(const Manifest &manifest, const ConfigRevision *known)
{
    ConfigBundle bundle;
    bundle.manifest = manifest;
    for (const auto &[name, hash] : manifest.files) {
        const auto *existing = known == nullptr ? nullptr : known->bundle.file(name);
        if (existing != nullptr && known->bundle.manifest.files.at(name) == hash) {
            bundle.files.push_back(*existing);
            continue;
        }
        auto blob = m_options.store.read(blobKey(hash));
        if (!blob) {
            // This also happens when the head has changed and the blob was garbage-collected.
            const bool missing = blob.error().kind == ErrorKind::NotFound;
            return missing ? failure(ErrorKind::Unavailable, fmt::format("the store has no blob for {}; read the head again", name.value()))
                           : tl::unexpected(blob.error());
        }
        bundle.files.push_back({name, std::move(blob->value)});
    }
    return bundle;
}

Result<ConfigRepository::Base> ConfigRepository::readBase()
{
    auto head = readHead();
    if (!head) {
        return tl::unexpected(head.error());
    }
    Base base;
    base.head = std::move(*head);
    base.current = m_options.inForce();
    const auto inForce = base.current ? base.current->revision() : Revision();
    const auto newest = std::max(inForce, base.head.manifest.revision);
    if (m_options.highestKnownRevision() > newest) {
        return failure(ErrorKind::Unavailable,
            fmt::format("other members serve revision {}, but this node has only {}; it is fetching the newer one, apply again in a second",
                m_options.highestKnownRevision().value(),
                newest.value()));
    }
    // A store restored from an older backup has a head with a lower revision than the nodes serve.
    // If applies were accepted on it meanwhile, its head lacks changes in force whatever its
    // number. Building on that head would revert accepted changes, so the change builds on the
    // revision in force, which the nodes still hold completely.
    base.diverged
        = base.current && base.current->bundle.manifest != base.head.manifest && (base.head.manifest.revision <= inForce || storeIsBehind(base.head.manifest));
    if (base.diverged) {
        return mergedBase(std::move(base));
    }
    if (!base.current || base.current->bundle.manifest != base.head.manifest) {
        auto bundle = readBundle(base.head.manifest, base.current.get());
        if (!bundle) {
            return tl::unexpected(bundle.error());
        }
        auto revision = ConfigRevision::fromBundle(std::move(*bundle));
        if (!revision) {
            return tl::unexpected(revision.error());
        }
        base.current = std::move(*revision);
    }
    base.bundle = base.current->bundle;
    return base;
}

Result<ConfigRepository::Base> ConfigRepository::mergedBase(Base base)
{
    base.bundle = base.current->bundle;
    base.bundle.manifest.revision = std::max(base.bundle.manifest.revision, base.head.manifest.revision);
    auto merged = mergeHistories(base.bundle.manifest, base.head.manifest);
    base.leftOut = std::move(merged.leftOut);
    if (merged.adopted.empty()) {
        return base;
    }
    auto mergedBundle = readBundle(merged.manifest, base.current.get());
    if (!mergedBundle) {
        return tl::unexpected(mergedBundle.error());
    }
    // Two valid histories may contradict each other. In that case the revision in force is kept,
    // and the response to the apply lists the changes that are not in it.
    if (ConfigSnapshot::validate(mergedBundle->files)) {
        base.bundle = std::move(*mergedBundle);
    } else {
        base.leftOut.insert(base.leftOut.end(), merged.adopted.begin(), merged.adopted.end());
    }
    return base;
}

Result<ConfigBundle> ConfigRepository::changedBundle(const Base &base, const ApplyRequest &request)
{
    ConfigBundle bundle = base.bundle;
    auto &manifest = bundle.manifest;
    manifest.revision = Revision(manifest.revision.value() + 1);
    // A retry of a change that only the outdated store had; the merged history already contains it.
    if (manifest.change(request.id)) {
        return bundle;
    }
    const auto existing = manifest.files.find(request.file);
    const auto previous = existing == manifest.files.end() ? ContentHash() : existing->second;
    manifest.files.erase(request.file);
    if (request.remove) {
        std::erase_if(bundle.files, [&](const auto &file) { return file.name == request.file; });
    } else {
        replaceFile(bundle.files, {request.file, request.text});
        manifest.files.emplace(request.file, contentHash(request.text));
    }
    manifest.record({request.id, manifest.revision, request.file, request.operatorName, m_options.now(), request.remove, previous});
    if (manifest.toJson().size() > MaxHeadBytes) {
        return failure(
            ErrorKind::Invalid, fmt::format("{}: too many files ({}) for one head object; merge small files", request.file.value(), bundle.files.size()));
    }
    return bundle;
}

Result<void> ConfigRepository::writeBlob(const std::string &key, const std::string &text)
{
    Error last;
    ObjectVersion expected;
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        const auto written = m_options.store.write(key, text, expected);
        if (written) {
            return {};
        }
        last = written.error();
        if (last.kind != ErrorKind::Conflict && last.kind != ErrorKind::OutcomeUnknown) {
            break;
        }
        // An existing blob is written again although its content can't differ, because the
        // collector may have found it unreferenced before this apply references it. The new version
        // makes the collector's removal fail, which expects the version that it found.
        const auto present = m_options.store.read(key);
        if (!present && present.error().kind != ErrorKind::NotFound) {
            last = present.error();
            break;
        }
        // A version newer than one that this apply has read was written since, by this apply or
        // another. The first write proves nothing, because the blob may have existed before.
        const bool writtenSince = present && expected != ObjectVersion() && present->version != expected;
        if (writtenSince && last.kind == ErrorKind::OutcomeUnknown) {
            return {};
        }
        expected = present ? present->version : ObjectVersion();
    }
    return failure(ErrorKind::Unavailable, last.message);
}

Result<void> ConfigRepository::writeBlobs(const Base &base, const ConfigBundle &bundle)
{
    for (const auto &file : bundle.files) {
        const auto &hash = bundle.manifest.files.at(file.name);
        const auto existing = base.head.manifest.files.find(file.name);
        if (existing != base.head.manifest.files.end() && existing->second == hash && !base.diverged) {
            continue;
        }
        if (const auto written = writeBlob(blobKey(hash), file.text); !written) {
            return written;
        }
    }
    return {};
}

std::optional<Result<ApplyOutcome>> ConfigRepository::resolveWithoutWrite(const Base &base, const ApplyRequest &request)
{
    const auto &manifest = base.bundle.manifest;
    // A client that retries an apply after a lost response gets the outcome of the first attempt.
    if (const auto done = base.current->bundle.manifest.change(request.id)) {
        return ApplyOutcome{done->revision, true, base.current, {}};
    }
    // A retry after many other changes may no longer find its id among the changes kept. Applied
    // again, it would revert what others have changed in the file since.
    if (request.begunAt && manifest.mayLackChangesAfter(*request.begunAt)) {
        return failure(ErrorKind::OutcomeUnknown,
            fmt::format("{}: apply {} was started at revision {}, but the change history only goes back to revision {}: it is unknown whether it took effect, "
                        "and it was not applied now; compare with 'galenahillctl diff FILE' and apply without --apply-id",
                request.file.value(),
                request.id.value(),
                request.begunAt->value(),
                manifest.changes.front().revision.value()));
    }
    const auto found = manifest.files.find(request.file);
    const auto current = found == manifest.files.end() ? ContentHash("none") : found->second;
    if (!request.basedOn.value().empty() && request.basedOn != current) {
        const auto other = manifest.lastChange(request.file);
        return failure(ErrorKind::Conflict,
            fmt::format("{}: not accepted: changed meanwhile in {}; read it with 'galenahillctl show', merge, and apply again",
                request.file.value(),
                other ? describe(*other) : "another revision"));
    }
    if (manifest.change(request.id)) {
        return std::nullopt;
    }
    if (request.remove && found == manifest.files.end()) {
        return failure(ErrorKind::NotFound, fmt::format("{}: no such file is in force; 'galenahillctl show' lists the files", request.file.value()));
    }
    if (!request.remove && current == contentHash(request.text)) {
        return ApplyOutcome{base.current->revision(), false, base.current, {}};
    }
    return std::nullopt;
}

Result<std::optional<ApplyOutcome>> ConfigRepository::attempt(ApplyRequest &request)
{
    auto base = readBase();
    if (!base) {
        return tl::unexpected(base.error());
    }
    if (auto resolved = resolveWithoutWrite(*base, request)) {
        return std::move(*resolved);
    }
    // From here on, the request is based on the content that was just read: a lost race over the
    // same file becomes a conflict, one over another file doesn't.
    const auto found = base->bundle.manifest.files.find(request.file);
    request.basedOn = found == base->bundle.manifest.files.end() ? ContentHash("none") : found->second;
    if (!request.begunAt) {
        request.begunAt = base->current->revision();
    }
    auto bundle = changedBundle(*base, request);
    if (!bundle) {
        return tl::unexpected(bundle.error());
    }
    auto revision = ConfigRevision::fromBundle(std::move(*bundle));
    if (!revision) {
        const auto &error = revision.error();
        const bool stillReferenced = request.remove && error.kind == ErrorKind::Invalid;
        return stillReferenced ? failure(error.kind, fmt::format("{}: not removed, other files need it:\n{}", request.file.value(), error.message))
                               : tl::unexpected(error);
    }
    if (const auto written = writeBlobs(*base, (*revision)->bundle); !written) {
        return tl::unexpected(written.error());
    }
    const auto accepted = writeHead(*base, (*revision)->bundle, request);
    if (!accepted) {
        return tl::unexpected(accepted.error());
    }
    if (!*accepted) {
        return std::nullopt;
    }
    return ApplyOutcome{(*revision)->revision(), true, *revision, std::move(base->leftOut)};
}

Result<std::shared_ptr<const ConfigSnapshot>> ConfigRepository::check(const ConfigFile &file) const
{
    const auto current = m_options.inForce();
    std::vector<ConfigFile> files = current ? current->bundle.files : std::vector<ConfigFile>();
    replaceFile(files, file);
    return ConfigSnapshot::validate(files);
}

Result<ApplyOutcome> ConfigRepository::apply(const ApplyRequest &request)
{
    if (const auto error = requestError(request); !error.empty()) {
        return failure(ErrorKind::Invalid, error);
    }
    auto current = request;
    for (int i = 0; i < MaxAttempts; ++i) {
        auto outcome = attempt(current);
        if (!outcome) {
            const bool unavailable = outcome.error().kind == ErrorKind::Unavailable;
            return unavailable ? notAccepted(request, outcome.error()) : tl::unexpected(outcome.error());
        }
        if (*outcome) {
            return std::move(**outcome);
        }
    }
    return notAccepted(request, {ErrorKind::Unavailable, "other operators' changes were accepted first each time; apply again"});
}

bool ConfigRepository::isStrictlyOlder(const Manifest &stored, const Manifest &inForce) const
{
    if (stored.revision >= inForce.revision) {
        return false;
    }
    const auto merged = mergeHistories(inForce, stored);
    return merged.adopted.empty() && merged.leftOut.empty();
}

// Until it is written back, the revision in force exists only in the nodes' memory: if all of them
// restarted now, they would serve what the store has, and accepted changes would be lost.
Result<bool> ConfigRepository::writeBack()
{
    auto head = readHead();
    if (!head) {
        return tl::unexpected(head.error());
    }
    Base base;
    base.head = std::move(*head);
    base.current = m_options.inForce();
    base.diverged = true;
    if (!base.current || !isStrictlyOlder(base.head.manifest, base.current->bundle.manifest)) {
        return false;
    }
    const auto &bundle = base.current->bundle;
    if (const auto written = writeBlobs(base, bundle); !written) {
        return tl::unexpected(written.error());
    }
    const auto written = m_options.store.write(HeadKey, bundle.manifest.toJson(), base.head.version);
    if (!written) {
        return tl::unexpected(written.error());
    }
    return true;
}

// Returns whether the head was written; false if another writer was first.
Result<bool> ConfigRepository::writeHead(const Base &base, const ConfigBundle &bundle, const ApplyRequest &request)
{
    const auto text = bundle.manifest.toJson();
    const auto written = m_options.store.write(HeadKey, text, base.head.version);
    if (written) {
        return true;
    }
    switch (written.error().kind) {
    case ErrorKind::Conflict:
        return false;
    case ErrorKind::OutcomeUnknown:
        return resolveHeadWrite(base, text, request, written.error());
    default:
        return failure(ErrorKind::Unavailable, written.error().message);
    }
}

// The response to the head write was lost, and the write may still be in flight: a head without the
// change proves nothing while its version is the expected one. Therefore the same write is sent
// again with the same expected version. At most one of the two takes effect, and neither can once
// the version has changed.
Result<bool> ConfigRepository::resolveHeadWrite(const Base &base, const std::string &head, const ApplyRequest &request, Error error)
{
    for (int i = 0; i < MaxHeadWriteRetries; ++i) {
        const auto present = readHead();
        if (!present) {
            error = present.error();
            continue;
        }
        if (present->manifest.change(request.id)) {
            return true;
        }
        if (present->version != base.head.version) {
            return false;
        }
        const auto written = m_options.store.write(HeadKey, head, base.head.version);
        if (written) {
            return true;
        }
        error = written.error();
    }
    return failure(ErrorKind::OutcomeUnknown,
        fmt::format("{}: outcome unknown: {}; retry the apply with --apply-id={}, which takes effect at most once, or check with 'galenahillctl outcome {}'",
            request.file.value(),
            error.message,
            request.id.value(),
            request.id.value()));
}

Result<AppliedChange> ConfigRepository::outcome(const ApplyId &id)
{
    const auto head = readHead();
    if (!head) {
        return tl::unexpected(head.error());
    }
    if (const auto change = head->manifest.change(id)) {
        return *change;
    }
    return failure(ErrorKind::NotFound,
        fmt::format(
            "apply {} is not among the last {} accepted changes; if its response was lost, retry it with --apply-id={}, which takes effect at most once",
            id.value(),
            Manifest::MaxChanges,
            id.value()));
}

Result<ConfigBundle> ConfigRepository::earlier(Revision revision)
{
    const auto current = m_options.inForce();
    if (!current) {
        return failure(ErrorKind::NotFound, "no configuration is in force; apply a file first");
    }
    const auto manifest = current->bundle.manifest.at(revision);
    if (!manifest) {
        return tl::unexpected(manifest.error());
    }
    return readBundle(*manifest, current.get());
}

}
