#pragma once

#include "../Base/Error.h"
#include "OperatorBackend.h"

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
    OperatorServer(OperatorServerOptions, OperatorBackend&);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    Result<void> start();
    void stop();
    // The port that is listened on, also when the address asked for port 0.
    uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
