#pragma once

#include "PlatformFaults.h"
#include "PlatformFleet.h"
#include "PlatformLog.h"
#include "PlatformReboots.h"
#include "PlatformTasks.h"

#include <atomic>
#include <httplib.h>
#include <map>
#include <string>
#include <thread>

namespace shallotdrift::standin {

struct PlatformServerOptions {
    std::string host;
    int port = 0; // 0: any free one
    size_t threads = 400; // each connection holds one
    size_t rebootThreads = 16;
    Milliseconds listLag { 1000 };
    Milliseconds usageLag { 2000 };
    PlatformLogOptions log;
};

// HTTP front of the platform's stand-in.
class PlatformServer {
public:
    explicit PlatformServer(PlatformServerOptions, PlatformReboots::Call = rebootTarget);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    PlatformFleet& fleet() { return fleet_; }
    // Binds and serves on a thread. Returns false when the address cannot be bound.
    bool start();
    int port() const { return port_; }
    void stop();

private:
    using Request = httplib::Request;
    using Response = httplib::Response;
    using Handler = void (PlatformServer::*)(const Request&, Response&);

    // Server with a backlog that holds the connections of a whole fleet's start.
    struct Listener : httplib::Server {
        // Returns the bound port, -1 on failure.
        int bind(const std::string& host, int port);
    };

    void route(const char* method, const char* pattern, Handler, bool faultsApply = true);
    void serve(const Request&, Response&, Handler);
    void dropConnection(const Request&, Response&) const;

    void append(const Request&, Response&);
    void read(const Request&, Response&);
    void instances(const Request&, Response&);
    void assign(const Request&, Response&);
    void reboot(const Request&, Response&);
    void carryOut(Reboot, Response&);
    void startTask(const Request&, Response&);
    void commandTask(const Request&, Response&);
    void listTasks(const Request&, Response&);
    void controlOutage(const Request&, Response&);
    void controlSlow(const Request&, Response&);
    void controlLoseAnswers(const Request&, Response&);
    void controlDuplicateAppends(const Request&, Response&);
    void controlChange(const Request&, Response&);
    void controlCounters(const Request&, Response&);

    struct Counters {
        std::atomic<uint64_t> appends { 0 };
        std::atomic<uint64_t> appendBytes { 0 };
        std::atomic<uint64_t> appendsLimited { 0 };
        std::atomic<uint64_t> duplicates { 0 };
        std::atomic<uint64_t> reads { 0 };
        std::atomic<uint64_t> lists { 0 };
        std::atomic<uint64_t> rebootCalls { 0 };
        std::atomic<uint64_t> rebootsStarted { 0 };
        std::atomic<uint64_t> rebootsDone { 0 };
        std::atomic<uint64_t> rebootsRefused { 0 };
        std::atomic<uint64_t> taskCalls { 0 };
        std::atomic<uint64_t> tasksRefused { 0 };
        std::atomic<uint64_t> lostAnswers { 0 };
        std::atomic<uint64_t> outageCalls { 0 };
    };

    const PlatformServerOptions options_;
    PlatformLog log_;
    PlatformFleet fleet_;
    PlatformTasks tasks_;
    PlatformFaults faults_;
    Counters counters_;
    PlatformReboots reboots_;
    Listener server_;
    int port_ = 0;
    std::thread thread_;
};

} // namespace shallotdrift::standin
