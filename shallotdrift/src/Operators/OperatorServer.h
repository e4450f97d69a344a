#pragma once

#include "../Base/Error.h"
#include "OperatorHandler.h"

#include <memory>
#include <string>

namespace shallotdrift {

struct OperatorServerOptions {
    std::string listenAddress; // IP:port; without TLS files it must be a loopback address
    std::string certificateFile;
    std::string keyFile;
    std::string clientAuthorityFile;
    size_t maximumMessageBytes = 1 << 20;
};

// gRPC server for operators.
class OperatorServer {
public:
    OperatorServer(OperatorServerOptions, OperatorHandler&);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    Result<void> start();
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
