#pragma once

#include "shallotdrift/Callers.h"
#include "shallotdrift/Targets.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotdrift::standin {

// A caller server and a target client joined without any policy: each work request goes to the next target of a
// list. Serves tests and benchmarks of the request path.
class DirectEntry {
public:
    DirectEntry(CallerServerOptions, TargetClientOptions, std::vector<std::string> targets, std::string pool);
    ~DirectEntry();
    DirectEntry(const DirectEntry&) = delete;
    DirectEntry& operator=(const DirectEntry&) = delete;

    Result<void> start();
    CallerServer& server() { return server_; }
    TargetClient& client() { return client_; }

private:
    bool onRequest(CallerRequest&&);
    void onResult(AttemptResult&&);

    std::vector<std::string> targets_;
    std::string pool_;
    std::atomic<uint64_t> next_ { 0 };
    CallerServer server_;
    TargetClient client_;
};

} // namespace shallotdrift::standin
