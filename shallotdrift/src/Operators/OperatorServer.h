#pragma once

#include "../Base/Error.h"
#include "OperatorBackend.h"

#include <memory>
#include <string>

namespace shallotdrift {

struct OperatorServerOptions {
    std::string listenAddress; // IP:PORT; without TLS, the IP has to be a loopback address
    // PEM files. TLS is used if certificateFile is not empty; then all three are required.
    std::string certificateFile;
    std::string keyFile;
    std::string clientAuthorityFile; // certificate of the authority that signs the operators' certificates
    size_t maximumMessageBytes = 1 << 20; // maximum size of a request
};

// gRPC server of proto/operator.proto in an entry instance. Under TLS it requires client certificates.
class OperatorServer {
public:
    OperatorServer(OperatorServerOptions, OperatorBackend&);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    // Fails with InvalidSettings if the address or the TLS files cannot be used.
    Result<void> start();
    // Waits up to 2 s for calls in progress, then cancels them.
    void stop();
    // The port that the server listens on; the port that the system assigned if listenAddress has port 0.
    uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
