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
        return decodeJson(ErrorKind::OutcomeUnknown, "malformed response from the store", {}, [&] { return decoder(parseSpliced(text, names.content)); });
    }

    std::string nameOf(const Json &object) const;
    StoredDocument parseDocument(SplicedDocument &parsed, const Json &object, bool removed) const;
    void addDocument(DocumentSet &set, SplicedDocument &parsed, const Json &object, bool removed) const;
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
        document.content = std::move(parsed.parts.at(object.at(names.content).at(PartField).get<std::size_t>()));
        const auto status = object.find(names.status);
        document.status = status == object.end() || status->is_null() ? std::string() : status->dump();
    }
    return document;
}

// The name of an object, or an empty text if it has none.
std::string DocumentReader::Private::nameOf(const Json &object) const
{
    const auto metadata = object.is_object() ? object.value(names.metadata, Json()) : Json();
    const auto name = metadata.is_object() ? metadata.value(names.name, Json()) : Json();
    return name.is_string() ? name.get<std::string>() : std::string();
}

// Another program may have written something else than a document.
void DocumentReader::Private::addDocument(DocumentSet &set, SplicedDocument &parsed, const Json &object, bool removed) const
{
    try {
        set.documents.push_back(parseDocument(parsed, object, removed));
    } catch (const std::exception &) {
        set.unreadable.push_back(nameOf(object));
    }
}

ObjectVersion DocumentReader::Private::parseStoreVersion(const Json &json) const
{
    return ObjectVersion(json.at(names.storeVersion).get<std::uint64_t>());
}

Result<std::string> DocumentReader::addPage(DocumentSet &set, const std::string &text) const
{
    return d->decode(text, [&](SplicedDocument page) {
        const auto &items = page.json.at(d->names.items);
        for (const auto &object : items) {
            d->addDocument(set, page, object, false);
        }
        // Documents of the first pages may change before the last page is read.
        if (set.version == ObjectVersion()) {
            set.version = d->parseStoreVersion(page.json);
        }
        return page.json.at(d->names.hasMore).get<bool>() && !items.empty() ? d->nameOf(items.back()) : std::string();
    });
}

Result<DocumentSet> DocumentReader::changes(const std::string &text) const
{
    return d->decode(text, [&](SplicedDocument parsed) {
        DocumentSet set;
        for (const auto &change : parsed.json.at(d->names.changes)) {
            d->addDocument(set, parsed, change.at(d->names.changed), change.at(d->names.removed).get<bool>());
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
