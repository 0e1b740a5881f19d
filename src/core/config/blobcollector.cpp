#include "core/config/blobcollector.h"

#include <set>

namespace Galenahill {

namespace {

const std::string BlobPrefix = "config/blob/";

// Keys of the blobs that a kept revision references.
std::set<std::string> referencedBlobs(const Manifest &manifest)
{
    std::set<std::string> keys;
    for (const auto &[name, hash] : manifest.files) {
        keys.insert(BlobPrefix + hash.value());
    }
    for (const auto &hash : manifest.retained()) {
        keys.insert(BlobPrefix + hash.value());
    }
    return keys;
}

}

BlobCollector::BlobCollector(Options options)
    : m_options(options)
{
}

Result<std::size_t> BlobCollector::run()
{
    const auto keys = m_options.store.list(BlobPrefix);
    if (!keys) {
        return tl::unexpected(keys.error());
    }
    const auto head = m_options.repository.readHead();
    if (!head) {
        return tl::unexpected(head.error());
    }
    // A store that was restored from a backup references fewer blobs than the nodes serve, so a
    // blob that the store's head doesn't reference may be in force.
    if (m_options.repository.storeIsBehind(head->manifest)) {
        m_candidates.clear();
        return 0;
    }
    const auto referenced = referencedBlobs(head->manifest);
    std::map<std::string, Candidate> candidates;
    std::size_t calls = 0;
    std::size_t removed = 0;
    for (const auto &key : *keys) {
        if (referenced.count(key) > 0 || calls >= m_options.callsPerRound) {
            continue;
        }
        const auto previous = m_candidates.find(key);
        if (previous != m_candidates.end() && previous->second.head == head->version) {
            candidates.insert(*previous);
            continue;
        }
        ++calls;
        if (previous != m_candidates.end()) {
            removed += m_options.store.remove(key, previous->second.blob) ? 1 : 0;
            continue;
        }
        if (const auto blob = m_options.store.read(key)) {
            candidates[key] = {blob->version, {}};
        }
    }
    // The head is read after the blobs, since a candidate must not be older than the head version
    // recorded with it.
    const auto after = m_options.repository.readHead();
    if (!after) {
        return tl::unexpected(after.error());
    }
    for (auto &[key, candidate] : candidates) {
        if (candidate.head == ObjectVersion()) {
            candidate.head = after->version;
        }
    }
    m_candidates = std::move(candidates);
    return removed;
}

}
