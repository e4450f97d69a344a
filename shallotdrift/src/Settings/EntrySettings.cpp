#include "EntrySettings.h"

#include "SettingsTables.h"

#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace shallotdrift {

using internal::IniText;
using internal::Mistakes;

static constexpr std::string_view peersSection = "peers";

static void readPeers(const internal::IniSection& section, EntrySettings& settings, Mistakes& mistakes)
{
    static const auto names = internal::ValueForm::name();
    static const auto addresses = internal::ValueForm::address();
    for (const auto& key : section.keys) {
        if (!names.accepts(key.name))
            mistakes.add(section, key, "the key has to be the name of an entry instance: " + names.allowed());
        else if (!addresses.accepts(key.value))
            mistakes.add(section, key, "allowed is " + addresses.allowed());
        else
            settings.peers[key.name] = key.value;
    }
}

// Two listeners on one address would fail at the start of the process, one at a time.
static void checkAddressesDiffer(const IniText& text, Mistakes& mistakes)
{
    std::map<std::string, std::string> users;
    for (const auto& [name, addressSuffix] : { std::pair { "entry", "_address" }, std::pair { "peers", "" } }) {
        users.clear();
        const auto* section = text.find(name);
        for (const auto& key : section ? section->keys : std::vector<internal::IniKey> {}) {
            if (key.name.find(addressSuffix) == std::string::npos)
                continue;
            auto [user, inserted] = users.emplace(key.value, key.name);
            if (!inserted)
                mistakes.add(*section, key, fmt::format("the address is already that of {}", user->second));
        }
    }
}

static void checkOperatorTrust(const IniText& text, const EntrySettings& settings, Mistakes& mistakes)
{
    bool all = !settings.certificateFile.empty() && !settings.keyFile.empty() && !settings.clientAuthorityFile.empty();
    bool none = settings.certificateFile.empty() && settings.keyFile.empty() && settings.clientAuthorityFile.empty();
    if (const auto* section = text.find("operators"); section && !all)
        mistakes.add(*section, "certificate_file, key_file and client_authority_file are given all three or none");
    const auto* entry = text.find("entry");
    if (!entry || !none || !internal::isAddress(settings.operatorAddress))
        return;
    for (const auto& key : entry->keys) {
        if (key.name == "operator_address" && !internal::isLoopbackAddress(key.value))
            mistakes.add(*entry, key, "without TLS files in [operators] a loopback address is required");
    }
}

Result<EntrySettings> parseEntrySettings(std::string_view ini, std::string_view source)
{
    EntrySettings settings;
    Mistakes mistakes(source);
    auto text = IniText::read(ini, mistakes);
    if (!text.readable())
        return boost::leaf::new_error(mistakes.error(ResultCode::InvalidSettings));
    const auto& tables = internal::entrySections();
    for (const auto& section : text.sections()) {
        auto table = std::find_if(
            tables.begin(), tables.end(), [&](const auto& candidate) { return candidate.section == section.name; });
        if (table != tables.end())
            internal::readSection(section, table->keys, settings, mistakes);
        else if (section.name == peersSection)
            readPeers(section, settings, mistakes);
        else
            mistakes.add(section,
                "unknown section; known sections are [entry], [platform], [peers], [operators], "
                "[limits] and [timing]");
    }
    for (const auto& table : tables) {
        if (table.presence == internal::Presence::Required && !text.find(table.section))
            mistakes.add(text.lineCount(), fmt::format("[{}]", table.section), "the section is missing");
    }
    checkAddressesDiffer(text, mistakes);
    checkOperatorTrust(text, settings, mistakes);
    if (!mistakes.empty())
        return boost::leaf::new_error(mistakes.error(ResultCode::InvalidSettings));
    return settings;
}

Result<EntrySettings> readEntrySettings(const std::string& path)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(path));
    return parseEntrySettings(text, path);
}

Result<std::string> readSettingsFile(const std::string& path)
{
    // One byte more than a parser takes, so that a longer file is refused without reading all of it.
    static constexpr size_t maximumReadBytes = (256 << 10) + 1;
    std::ifstream file(path, std::ios::binary);
    std::string text(maximumReadBytes, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad())
        return fail(ResultCode::InvalidSettings, path + ":1: the file cannot be read");
    text.resize(static_cast<size_t>(file.gcount()));
    return text;
}

} // namespace shallotdrift
