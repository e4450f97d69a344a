#pragma once

#include "../Base/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace shallotdrift {

// Instances that may be sent to, with the epoch and the end of the permission. Written by the core, read by the
// targets' thread directly before a write, so that a process that was paused does not send under an old view.
class SendPermissions {
public:
    struct Permission {
        uint64_t epoch = 0;
        Instant validUntil {};
    };

    void replace(std::map<std::string, Permission> permissions)
    {
        std::lock_guard lock(mutex_);
        permissions_.swap(permissions);
    }

    bool maySend(const std::string& instance, uint64_t epoch, Instant now) const
    {
        std::lock_guard lock(mutex_);
        auto position = permissions_.find(instance);
        return position != permissions_.end() && position->second.epoch == epoch && now < position->second.validUntil;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, Permission> permissions_;
};

} // namespace shallotdrift
