#pragma once

#include <string>
#include <string_view>

namespace Galenahill {

// The text of a configuration file with each key in `api-keys` replaced by its placeholder, also in
// lines that are commented out. A changed key shows as another placeholder. Text without
// keys, and placeholders, are kept as they are.
std::string redactKeys(std::string_view text);

// What stands for the key in the output for operators: "<key FINGERPRINT>".
std::string keyPlaceholder(std::string_view key);

bool isKeyPlaceholder(std::string_view text);

}
