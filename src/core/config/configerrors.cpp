#include "core/config/configerrors.h"

#include "core/config/configlimits.h"

#include <fmt/format.h>

namespace Galenahill {

void ConfigErrors::add(const FileName &file, const std::string &section, const std::string &text)
{
    add(fmt::format("{}{}[{}] {}", file.value(), file.value().empty() ? "" : " ", section, text));
}

void ConfigErrors::add(std::string text)
{
    ++m_count;
    if (!full()) {
        m_listed.push_back(std::move(text));
    }
}

bool ConfigErrors::empty() const
{
    return m_count == 0;
}

bool ConfigErrors::full() const
{
    return m_listed.size() >= ConfigLimits::MaxErrors;
}

std::string ConfigErrors::message() const
{
    auto text = fmt::format("{}", fmt::join(m_listed, "\n"));
    if (m_count > m_listed.size()) {
        text += fmt::format("\nand {} more errors; fix these first", m_count - m_listed.size());
    }
    return text;
}

}
