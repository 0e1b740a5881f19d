#include "core/configrepository.h"

#include "core/contenthash.h"

#include <algorithm>
#include <fmt/format.h>

namespace Galenahill {

namespace {

const std::string HeadKey = "config/head";

// A value limit of the platform's store, with room for its own wrapping.
constexpr std::size_t MaxHeadBytes = 1000 * 1000;

// Lost races before an apply gives up. Each lost race means that another
// operator's apply was accepted, so the system as a whole still advances.
constexpr int MaxAttempts = 16;

std::string blobKey(const ContentHash &hash)
{
    return "config/blob/" + hash.value();
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

Result<ConfigBundle> ConfigRepository::readBundle(const Manifest &manifest, const ConfigRevision *known)
{
    ConfigBundle bundle;
    bundle.manifest = manifest;
    for (const auto &[name, hash] : manifest.files) {
        const auto *held = known == nullptr ? nullptr : known->bundle.file(name);
        if (held != nullptr && known->bundle.manifest.files.at(name) == hash) {
            bundle.files.push_back(*held);
            continue;
        }
        auto blob = m_options.store.read(blobKey(hash));
        if (!blob) {
            return tl::unexpected(blob.error());
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
    Base base{std::move(*head), m_options.inForce()};
    // A store restored from an older backup has a head below what nodes
    // serve. Building on it would take accepted changes back, so the change
    // builds on the revision in force, which the nodes still hold whole.
    const bool storeIsOlder = base.current && base.current->revision() > base.head.manifest.revision;
    if (storeIsOlder) {
        return base;
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
    if (m_options.highestKnown() > base.current->revision()) {
        return failure(ErrorKind::Unavailable,
            fmt::format("not accepted: members serve revision {} and this node knows only {}; it fetches that now, apply again in a second",
                m_options.highestKnown().value(),
                base.current->revision().value()));
    }
    return base;
}

Result<ConfigBundle> ConfigRepository::changedBundle(const Base &base, const ApplyRequest &request)
{
    ConfigBundle bundle = base.current->bundle;
    std::erase_if(bundle.files, [&](const auto &file) { return file.name == request.file; });
    bundle.manifest.files.erase(request.file);
    if (!request.remove) {
        const auto after = std::find_if(bundle.files.begin(), bundle.files.end(), [&](const auto &file) { return request.file < file.name; });
        bundle.files.insert(after, {request.file, request.text});
        bundle.manifest.files.emplace(request.file, contentHash(request.text));
    }
    bundle.manifest.revision = Revision(base.current->revision().value() + 1);
    bundle.manifest.record({request.id, bundle.manifest.revision, request.file, request.operatorName, m_options.now(), request.remove});
    if (bundle.manifest.toJson().size() > MaxHeadBytes) {
        return failure(
            ErrorKind::Invalid, fmt::format("{}: too many files ({}) for one head object; join small files", request.file.value(), bundle.files.size()));
    }
    return bundle;
}

Result<void> ConfigRepository::writeBlobs(const Base &base, const ConfigBundle &bundle)
{
    const bool storeIsOlder = base.current->revision() > base.head.manifest.revision;
    for (const auto &file : bundle.files) {
        const auto &hash = bundle.manifest.files.at(file.name);
        const auto held = base.head.manifest.files.find(file.name);
        if (held != base.head.manifest.files.end() && held->second == hash && !storeIsOlder) {
            continue;
        }
        const auto written = m_options.store.write(blobKey(hash), file.text, ObjectVersion());
        // A blob that exists already has this very content: it is named by
        // its hash.
        if (!written && written.error().kind != ErrorKind::Conflict) {
            return failure(ErrorKind::Unavailable, "not accepted: " + written.error().message);
        }
    }
    return {};
}

Result<ApplyOutcome> ConfigRepository::apply(const ApplyRequest &request)
{
    ContentHash basedOn = request.basedOn;
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        const auto base = readBase();
        if (!base) {
            const bool unreachable = base.error().kind == ErrorKind::Unavailable || base.error().kind == ErrorKind::OutcomeUnknown;
            return unreachable ? failure(ErrorKind::Unavailable, "not accepted: " + base.error().message) : tl::unexpected(base.error());
        }
        const auto &manifest = base->current->bundle.manifest;
        // A client that repeats an apply after a lost answer gets the first
        // run's outcome.
        if (const auto done = manifest.change(request.id)) {
            return ApplyOutcome{done->revision, true, base->current};
        }
        const auto found = manifest.files.find(request.file);
        const auto current = found == manifest.files.end() ? ContentHash("none") : found->second;
        if (!basedOn.value().empty() && basedOn != current) {
            const auto other = manifest.lastChange(request.file);
            return failure(ErrorKind::Conflict,
                fmt::format("{}: not accepted: changed meanwhile in {}; read it with 'galenahillctl show', merge, and apply again",
                    request.file.value(),
                    other ? describe(*other) : "another revision"));
        }
        basedOn = current;
        if (request.remove && found == manifest.files.end()) {
            return failure(ErrorKind::NotFound, fmt::format("{}: no such file is in force; 'galenahillctl show' lists the files", request.file.value()));
        }
        if (!request.remove && current == contentHash(request.text)) {
            return ApplyOutcome{manifest.revision, false, base->current};
        }
        auto bundle = changedBundle(*base, request);
        if (!bundle) {
            return tl::unexpected(bundle.error());
        }
        auto revision = ConfigRevision::fromBundle(std::move(*bundle));
        if (!revision) {
            return tl::unexpected(revision.error());
        }
        if (const auto written = writeBlobs(*base, (*revision)->bundle); !written) {
            return tl::unexpected(written.error());
        }
        const auto accepted = m_options.store.write(HeadKey, (*revision)->bundle.manifest.toJson(), base->head.version);
        if (accepted) {
            return ApplyOutcome{(*revision)->revision(), true, *revision};
        }
        if (accepted.error().kind == ErrorKind::OutcomeUnknown) {
            return settle(request, accepted.error());
        }
        if (accepted.error().kind != ErrorKind::Conflict) {
            return failure(ErrorKind::Unavailable, "not accepted: " + accepted.error().message);
        }
    }
    return failure(ErrorKind::Unavailable, "not accepted: other operators' applies kept coming first; apply again");
}

Result<ApplyOutcome> ConfigRepository::settle(const ApplyRequest &request, const Error &error)
{
    const auto head = readHead();
    if (head) {
        if (const auto done = head->manifest.change(request.id)) {
            return ApplyOutcome{done->revision, true, nullptr};
        }
    }
    // The head without the change proves nothing yet: the write may still be
    // on its way.
    return failure(ErrorKind::OutcomeUnknown,
        fmt::format("{}: outcome unknown: {}; settle it with 'galenahillctl outcome {}' before applying again",
            request.file.value(),
            error.message,
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
    return failure(ErrorKind::NotFound, fmt::format("apply {} is not among the last {} accepted changes", id.value(), Manifest::MaxChanges));
}

}
