#pragma once

#include "shallotdrift/Platform.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace shallotdrift::standin {

// A reboot that the platform has accepted and has still to carry out at the target.
struct Reboot {
    std::string instance;
    std::string address;
    std::string pool; // of an assignment; empty for a plain reboot
    uint64_t epoch = 0;
};

// The platform's instances: the lagging list, and the epochs that fence assignments and reboots.
class PlatformFleet {
public:
    enum class Change : uint8_t {
        Leave,
        Gone,
        Return,
    };

    enum class Acceptance : uint8_t {
        Started, // to be carried out
        Repeated, // under way or done
        UnknownInstance,
        OldEpoch,
        OtherOperation, // another assignment holds this epoch
    };

    explicit PlatformFleet(Milliseconds listLag);

    // Reads the JSON array of a fleet file. Throws std::runtime_error with the fault.
    void load(const std::string& json);
    // Reply body of GET /instances, as it was before the lag.
    std::string list(Instant now);
    bool change(const std::string& instance, Change, Instant now);
    bool present(const std::string& instance) const;

    Acceptance accept(Reboot&);
    // Whether the reboot is still the newest of its instance.
    bool current(const Reboot&) const;
    void finished(const Reboot&, Instant now);
    // Waits until the reboot is done. Returns false on timeout, or when a newer one has replaced it.
    bool waitUntilDone(const Reboot&, Milliseconds timeout);

private:
    struct State {
        ListedInstance listed;
        bool gone = false;
        Reboot last;
        bool done = true;
    };
    struct Version {
        Instant visibleAt;
        std::string json;
    };

    void publish(Instant now);
    std::string json() const;
    static bool sameReboot(const Reboot&, const Reboot&);

    const Milliseconds listLag_;
    mutable std::mutex mutex_;
    std::condition_variable rebooted_;
    std::map<std::string, State> instances_;
    uint64_t version_ = 0;
    std::string visible_;
    std::deque<Version> pending_;
};

} // namespace shallotdrift::standin
