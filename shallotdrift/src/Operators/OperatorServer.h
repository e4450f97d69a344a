#pragma once

#include "../Base/Error.h"
#include "OperatorBackend.h"

#include <memory>
#include <string>

namespace shallotdrift {

struct OperatorServerOptions {
    std::string listenAddress; // IP:port; has to be a loopback address without TLS
    // PEM files; TLS is used if certificateFile is given, and then all three are required.
    std::string certificateFile;
    std::string keyFile;
    std::string clientAuthorityFile; // signs the operators' certificates
    size_t maximumMessageBytes = 1 << 20; // of a request
};

// gRPC server of proto/operator.proto in an entry instance. Under TLS it requires client certificates.
class OperatorServer {
public:
    OperatorServer(OperatorServerOptions, OperatorBackend&);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    // Fails with InvalidSettings for an address or TLS files that cannot be used.
    Result<void> start();
    // Waits up to 2 s for calls in progress, then cancels them.
    void stop();
    // The port that is listened on, also if listenAddress has port 0.
    uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
