#pragma once

#include "../Base/Error.h"

#include <string>

namespace shallotdrift {

// Content of a settings, configuration or handbook file, up to a little more than the parsers accept.
Result<std::string> readSettingsFile(const std::string& path);

} // namespace shallotdrift
