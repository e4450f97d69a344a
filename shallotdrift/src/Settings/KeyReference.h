#pragma once

#include <string>
#include <vector>

namespace shallotdrift {

// Documentation of one key of the settings or of a handbook entry, as listed in docs/configuration.md.
struct KeyReference {
    std::string file; // "settings" or "handbook"
    std::string section;
    std::string key;
    std::string allowedValues;
    std::string defaultValue; // "required" for a required key, "-" for an empty default
    std::string description;
};

// All keys of both file types, from the schemas that the parsers use.
std::vector<KeyReference> settingsReference();

} // namespace shallotdrift
