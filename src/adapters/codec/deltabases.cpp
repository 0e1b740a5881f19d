#include "adapters/codec/deltabases.h"

#include "adapters/codec/deltacodec.h"

#include <algorithm>

namespace Galenahill {

DeltaBases::DeltaBases(std::size_t maxTexts)
    : m_maxTexts(maxTexts)
{
}

void DeltaBases::add(const ContentHash &digest, const std::string &text)
{
    m_bases.push_front({digest, compressDelta(text, std::string())});
    if (m_bases.size() > m_maxTexts) {
        m_bases.pop_back();
    }
}

std::optional<std::string> DeltaBases::find(const ContentHash &digest) const
{
    const auto found = std::find_if(m_bases.begin(), m_bases.end(), [&](const Base &base) { return base.digest == digest; });
    if (found == m_bases.end()) {
        return std::nullopt;
    }
    auto text = expandDelta(found->compressed, std::string());
    return text ? std::optional(std::move(*text)) : std::nullopt;
}

std::size_t DeltaBases::bytes() const
{
    std::size_t sum = 0;
    for (const auto &base : m_bases) {
        sum += base.compressed.capacity();
    }
    return sum;
}

}
