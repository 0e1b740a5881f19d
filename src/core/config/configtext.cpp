#include "core/config/configtext.h"

#include <algorithm>
#include <boost/locale/utf.hpp>

namespace Galenahill {

bool isUtf8(std::string_view text)
{
    using Decoder = boost::locale::utf::utf_traits<char>;
    const auto *position = text.data();
    const auto *const end = text.data() + text.size();
    while (position != end) {
        const auto point = Decoder::decode(position, end);
        if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete) {
            return false;
        }
    }
    return true;
}

bool isPlainLine(std::string_view text, std::size_t maxBytes)
{
    const auto isControl = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
    return !text.empty() && text.size() <= maxBytes && std::none_of(text.begin(), text.end(), isControl) && isUtf8(text);
}

}
