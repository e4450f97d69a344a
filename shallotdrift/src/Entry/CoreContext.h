#pragma once

#include "../../Fold.h"
#include "../Callers/CallerServer.h"
#include "../Settings/EntrySettings.h"
#include "../Targets/TargetClient.h"
#include "ForwardDeclarations.h"
#include "PlatformCalls.h"

#include <peer.pb.h>

#include <functional>
#include <map>
#include <string>

namespace shallotdrift {

// Everything that the decision loop sends out. Tests put fakes here.
struct CoreOutputs {
    std::function<void(uint64_t, CallerReply)> reply;
    std::function<void(TargetAttempt)> sendAttempt;
    std::function<void(uint64_t)> abandonAttempt;
    std::function<void(const std::string&)> closeIdle;
    std::function<void(proto::PeerMessage)> sendPeer;
    std::function<void(const std::map<std::string, std::string>&)> setPeers;
    std::function<uint64_t(proto::Record)> append; // 0: refused, the ring is full
    std::function<bool(PlatformCall)> callPlatform;
    std::function<bool()> platformReachable;
};

// What the parts of the decision loop share. Used on the core's thread alone.
struct CoreContext {
    const EntrySettings& settings;
    uint64_t boot;
    CoreOutputs outputs;
    Metrics& metrics;
    SendPermissions& permissions;
    Fold fold;
    // Since this boot's EntryJoined was folded: this entry belongs to its zone's gate.
    bool member = false;
    bool stopping = false;

    const FleetState& state() const { return fold.state(); }
    std::string actor() const { return "entry:" + settings.id; }
};

} // namespace shallotdrift
