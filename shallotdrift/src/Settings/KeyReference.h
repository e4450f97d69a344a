#pragma once

#include <string>
#include <vector>

namespace shallotdrift {

// One key of the settings or of a handbook entry, as docs/configuration.md lists it.
struct KeyReference {
    std::string file; // "settings" or "handbook"
    std::string section;
    std::string key;
    std::string allowedValues;
    std::string defaultValue; // "required" when the key has to be given, "-" when the default is empty
    std::string description;
};

// All keys of both kinds of files, from the tables that the parsers use.
std::vector<KeyReference> settingsReference();

} // namespace shallotdrift
