#include "adapters/platform/documentreader.h"

#include "adapters/codec/jsonfields.h"
#include "adapters/codec/jsonparts.h"
#include "common/boundedjson.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Galenahill {

namespace {

using Members = std::vector<JsonMember>;

std::uint64_t versionFrom(std::string_view text)
{
    const auto json = parseJson(text);
    if (!json.is_number_unsigned()) {
        throw std::invalid_argument("a version is not a whole number");
    }
    return json.get<std::uint64_t>();
}

// A version that the store leaves out is zero.
ObjectVersion versionOr(const Members &members, const std::string &name)
{
    const auto text = findMember(members, name);
    return ObjectVersion(text ? versionFrom(*text) : 0);
}

}

class DocumentReader::Private
{
public:
    DocumentFieldNames names;

    // Decodes the members of a response.
    template <typename Decoder>
    auto decode(const std::string &text, Decoder decoder) const -> Result<decltype(decoder(Members()))>
    {
        return decodeJson(ErrorKind::OutcomeUnknown, "malformed response from the store", {}, [&] { return decoder(splitObject(text)); });
    }

    std::string nameOf(std::string_view object) const;
    StoredDocument parseDocument(const Members &object, bool removed) const;
    void addDocument(DocumentSet &set, std::string_view object, bool removed) const;
    ObjectVersion parseStoreVersion(const Members &response) const;
};

DocumentReader::DocumentReader(DocumentFieldNames names)
    : d(new Private{.names = std::move(names)})
{
}

DocumentReader::~DocumentReader() = default;

// Reads only the fields that are needed, so that whatever another program adds to a document leaves it readable.
StoredDocument DocumentReader::Private::parseDocument(const Members &object, bool removed) const
{
    StoredDocument document;
    const auto metadata = splitObject(memberAt(object, names.metadata));
    document.name = parseJson(memberAt(metadata, names.name)).get<std::string>();
    document.version = versionOr(metadata, names.version);
    document.created = versionOr(metadata, names.createdVersion);
    document.removed = removed;
    if (!removed) {
        document.content = memberAt(object, names.content);
        if (!document.content.starts_with('{')) {
            throw std::invalid_argument("the content is not an object");
        }
        const auto status = findMember(object, names.status);
        document.status = status && *status != "null" ? std::string(*status) : std::string();
    }
    return document;
}

// The name of an object, or an empty text if it has none.
std::string DocumentReader::Private::nameOf(std::string_view object) const
{
    try {
        return parseJson(memberAt(splitObject(memberAt(splitObject(object), names.metadata)), names.name)).get<std::string>();
    } catch (const std::exception &) {
        return {};
    }
}

// Another program may have written something else than a document.
void DocumentReader::Private::addDocument(DocumentSet &set, std::string_view object, bool removed) const
{
    try {
        set.documents.push_back(parseDocument(splitObject(object), removed));
    } catch (const std::exception &) {
        set.unreadable.push_back(nameOf(object));
    }
}

ObjectVersion DocumentReader::Private::parseStoreVersion(const Members &response) const
{
    return ObjectVersion(versionFrom(memberAt(response, names.storeVersion)));
}

Result<std::string> DocumentReader::addPage(DocumentSet &set, const std::string &text) const
{
    return d->decode(text, [&](const Members &page) {
        std::string lastName;
        for (const auto object : splitArray(memberAt(page, d->names.items))) {
            d->addDocument(set, object, false);
            // The next page is asked for by name, so an object without one can't end this page.
            const auto name = d->nameOf(object);
            lastName = name.empty() ? lastName : name;
        }
        // Documents of the first pages may change before the last page is read.
        if (set.version == ObjectVersion()) {
            set.version = d->parseStoreVersion(page);
        }
        return parseJson(memberAt(page, d->names.hasMore)).get<bool>() ? lastName : std::string();
    });
}

Result<DocumentSet> DocumentReader::changes(const std::string &text) const
{
    return d->decode(text, [&](const Members &response) {
        DocumentSet set;
        for (const auto element : splitArray(memberAt(response, d->names.changes))) {
            const auto change = splitObject(element);
            d->addDocument(set, memberAt(change, d->names.changed), parseJson(memberAt(change, d->names.removed)).get<bool>());
        }
        set.version = d->parseStoreVersion(response);
        return set;
    });
}

Result<StoredDocument> DocumentReader::document(const std::string &text) const
{
    return d->decode(text, [&](const Members &object) { return d->parseDocument(object, false); });
}

Result<ObjectVersion> DocumentReader::storeVersion(const std::string &text) const
{
    return d->decode(text, [&](const Members &page) { return d->parseStoreVersion(page); });
}

}
