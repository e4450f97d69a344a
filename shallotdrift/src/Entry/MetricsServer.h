#pragma once

#include "../Base/Error.h"
#include "Metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace shallotdrift {

// HTTP page with /metrics, /health (the process runs) and /ready (the balancer may send requests).
class MetricsServer {
public:
    MetricsServer(std::string listenAddress, const Metrics&, std::function<bool()> ready);
    ~MetricsServer();
    MetricsServer(const MetricsServer&) = delete;
    MetricsServer& operator=(const MetricsServer&) = delete;

    Result<void> start();
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
