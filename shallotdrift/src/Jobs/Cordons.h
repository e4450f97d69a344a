#pragma once

#include "../Base/Time.h"
#include "JobRecords.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace shallotdrift {

// The instances on which the owner of a service places nothing, as the fleet manager has requested. They are stored, so
// that a next owner places nothing there either: the manager may order a move on the ground of the former owner's
// report.
class Cordons {
public:
    // Cordons end when they are not renewed for this time, so that they do not outlive their manager.
    static constexpr Milliseconds lifetime { 2000 };

    explicit Cordons(const std::string& service);

    // Replaces the cordons. Each instance is mapped to the service that it is moving to, which may already use it, or
    // to an empty string. False, without effect, if a manager with a higher fencing token has set cordons before;
    // managers of earlier versions have the token 0, which is always accepted.
    bool set(std::map<std::string, std::string> cordoned, std::set<std::string> maintenanceDue, Instant until,
        uint64_t managerToken = 0);
    // Whether there are cordons that were not renewed.
    bool haveExpired(Instant now) const { return !cordoned_.empty() && now > until_; }
    bool appliesTo(const std::string& instance) const;
    bool isMaintenanceDue(const std::string& instance) const { return maintenanceDue_.count(instance) != 0; }

    const std::string& key() const { return key_; }
    // Reads the record of the previous owner; empty: there is none. Its cordons last until the time given.
    void restore(const std::string& record, Instant until);
    // The record that has to be written now if these instances of the service are cordoned.
    std::optional<StateRecord> takeChangedRecord(std::set<std::string> cordoned);
    // To be called when the record of the last takeChangedRecord() is stored.
    void onRecordStored() { stored_ = written_; }
    // Whether a next owner would place nothing on the instance either.
    bool isStored(const std::string& instance) const { return stored_.count(instance) != 0; }

private:
    std::string service_;
    std::string key_;
    std::map<std::string, std::string> cordoned_;
    std::set<std::string> maintenanceDue_;
    Instant until_ {};
    uint64_t managerToken_ = 0; // the highest one
    std::set<std::string> written_;
    std::set<std::string> stored_;
};

} // namespace shallotdrift
