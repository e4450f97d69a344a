#pragma once

#include "../Base/Error.h"
#include "../Base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace shallotdrift {

// Settings of one entry instance's process.
struct EntrySettings {
    // [entry]
    std::string id;
    std::string zone;
    std::string callerAddress; // IP:port of the callers' listener
    std::string peerAddress; // IP:port of the peer socket, as other entries reach it
    std::string operatorAddress; // IP:port
    std::string metricsAddress; // IP:port
    std::string logLevel = "info";
    bool fixedPeers = false; // addresses in [peers] come before those in the log

    // [platform]
    std::string platformAddress; // IP:port
    Milliseconds platformCallTimeout { 3000 };
    Milliseconds listInterval { 500 };

    // [peers]: entry id = IP:port, used until the log tells more
    std::map<std::string, std::string> peers;

    // [operators]: either all three files or none
    std::string certificateFile;
    std::string keyFile;
    std::string clientAuthorityFile;

    // [limits]
    uint32_t maximumConnections = 2000;
    uint32_t maximumBodyBytes = 1 << 20;
    uint32_t maximumHeaderBytes = 16 << 10;
    uint32_t connectionsPerTarget = 8;

    // [timing]
    Milliseconds heartbeatInterval { 500 };
    Milliseconds viewLease { 3000 };
    Milliseconds batchInterval { 40 };
    Milliseconds stopGrace { 2000 };
    Milliseconds stopLimit { 30000 };
};

// Parses and checks the settings as a whole; the error's message lists every mistake on a line of its own.
Result<EntrySettings> parseEntrySettings(std::string_view ini, std::string_view source);

// Content of a settings, configuration or handbook file, up to a little more than the parsers accept.
Result<std::string> readSettingsFile(const std::string& path);

// Reads the file and parses it.
Result<EntrySettings> readEntrySettings(const std::string& path);

} // namespace shallotdrift
