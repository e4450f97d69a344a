#pragma once

#include "../Base/Error.h"

#include <string>

namespace shallotdrift {

// Reads a settings file or handbook entry. Of a longer file, only one byte more than the parsers accept is read. Fails
// with InvalidSettings if the file cannot be read.
Result<std::string> readSettingsFile(const std::string& path);

} // namespace shallotdrift
