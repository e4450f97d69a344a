#pragma once

#include "TargetInstance.h"

#include <map>

namespace shallotdrift::standin {

// All target instances of a process, and the control calls that name one of them.
class TargetHost {
public:
    TargetHost(asio::io_context&, Journal&, Milliseconds rebootTime);

    Result<void> add(const FleetInstance&);
    size_t size() const { return instances_.size(); }
    std::shared_ptr<TargetInstance> find(const std::string& id) const;

    // Performs a control call that arrived at an instance; "instance" in the query names another one.
    unsigned control(const std::shared_ptr<TargetInstance>& receiver, const std::string& target);

private:
    asio::io_context& io_;
    Journal& journal_;
    Milliseconds rebootTime_;
    std::map<std::string, std::shared_ptr<TargetInstance>> instances_;
};

} // namespace shallotdrift::standin
