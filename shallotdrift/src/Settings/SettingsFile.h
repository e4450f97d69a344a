#pragma once

#include "../Base/Error.h"

#include <string>

namespace shallotdrift {

// Reads a settings file or handbook entry, up to one byte more than the parsers accept. Fails with InvalidSettings when
// the file cannot be read.
Result<std::string> readSettingsFile(const std::string& path);

} // namespace shallotdrift
