#include "adapters/platform/documentreader.h"

#include "adapters/codec/jsonfields.h"
#include "adapters/codec/jsonsplice.h"

#include <nlohmann/json.hpp>

namespace Galenahill {

namespace {

using Json = nlohmann::json;

}

class DocumentReader::Private
{
public:
    DocumentFieldNames names;

    // Decodes a response whose documents' contents are kept apart, unparsed.
    template <typename Decoder>
    auto decode(const std::string &text, Decoder decoder) const -> Result<decltype(decoder(SplicedDocument()))>
    {
        return decodeJson(ErrorKind::OutcomeUnknown, "malformed response from the store: {}", [&] { return decoder(parseSpliced(text, names.content)); });
    }

    StoredDocument parseDocument(SplicedDocument &parsed, const Json &object, bool removed) const;
    ObjectVersion parseStoreVersion(const Json &json) const;
};

DocumentReader::DocumentReader(DocumentFieldNames names)
    : d(new Private{.names = std::move(names)})
{
}

DocumentReader::~DocumentReader() = default;

StoredDocument DocumentReader::Private::parseDocument(SplicedDocument &parsed, const Json &object, bool removed) const
{
    StoredDocument document;
    const auto &metadata = object.at(names.metadata);
    document.name = metadata.at(names.name).get<std::string>();
    document.version = ObjectVersion(metadata.value(names.version, std::uint64_t(0)));
    document.created = ObjectVersion(metadata.value(names.createdVersion, std::uint64_t(0)));
    document.removed = removed;
    if (!removed) {
        document.content = std::move(parsed.parts.at(object.at(names.content).get<std::size_t>()));
        const auto status = object.find(names.status);
        document.status = status == object.end() || status->is_null() ? std::string() : status->dump();
    }
    return document;
}

ObjectVersion DocumentReader::Private::parseStoreVersion(const Json &json) const
{
    return ObjectVersion(json.at(names.storeVersion).get<std::uint64_t>());
}

Result<std::string> DocumentReader::addPage(DocumentSet &set, const std::string &text) const
{
    return d->decode(text, [&](SplicedDocument page) {
        for (const auto &object : page.json.at(d->names.items)) {
            set.documents.push_back(d->parseDocument(page, object, false));
        }
        set.version = d->parseStoreVersion(page.json);
        return page.json.at(d->names.hasMore).get<bool>() && !set.documents.empty() ? set.documents.back().name : std::string();
    });
}

Result<DocumentSet> DocumentReader::changes(const std::string &text) const
{
    return d->decode(text, [&](SplicedDocument parsed) {
        DocumentSet set;
        for (const auto &change : parsed.json.at(d->names.changes)) {
            set.documents.push_back(d->parseDocument(parsed, change.at(d->names.changed), change.at(d->names.removed).get<bool>()));
        }
        set.version = d->parseStoreVersion(parsed.json);
        return set;
    });
}

Result<StoredDocument> DocumentReader::document(const std::string &text) const
{
    return d->decode(text, [&](SplicedDocument parsed) { return d->parseDocument(parsed, parsed.json, false); });
}

Result<ObjectVersion> DocumentReader::storeVersion(const std::string &text) const
{
    return d->decode(text, [&](const SplicedDocument &page) { return d->parseStoreVersion(page.json); });
}

}
