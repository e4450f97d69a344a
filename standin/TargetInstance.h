#pragma once

#include "FleetFile.h"
#include "Journal.h"
#include "TargetSession.h"
#include "shallotdrift/Http.h"

#include <memory>
#include <unordered_set>

namespace shallotdrift::standin {

class TargetHost;

// How an instance misbehaves.
enum class TargetFault : uint8_t { None, FailAll, Silent, Late, Duplicate, WrongId, Slow };

// One target instance: a listener, its slots, its pool and its faults.
class TargetInstance : public std::enable_shared_from_this<TargetInstance> {
public:
    TargetInstance(asio::io_context&, TargetHost&, Journal&, FleetInstance, Milliseconds rebootTime);

    Result<void> startListening();
    // Answers a request, at once or later.
    void handle(const std::shared_ptr<TargetSession>&, HttpMessage&&);
    void sessionClosed(const std::shared_ptr<TargetSession>&);

    const FleetInstance& description() const { return description_; }
    uint16_t port() const;

    // Control calls; each returns the HTTP status.
    unsigned assign(const std::string& pool, uint64_t epoch);
    unsigned reboot(uint64_t epoch);
    unsigned stop();
    unsigned start();
    unsigned setFault(const std::string& mode, Milliseconds time);

private:
    struct Run;

    void accept();
    void handleRun(const std::shared_ptr<TargetSession>&, HttpMessage&&);
    void refuse(const std::shared_ptr<TargetSession>&, const Run&, unsigned status, const char* reason);
    void finishRun(const std::shared_ptr<TargetSession>&, const std::shared_ptr<Run>&);
    void answer(const std::shared_ptr<TargetSession>&, const Run&, unsigned status, const std::string& execution,
        const std::string& body);
    void answerWithFault(const std::shared_ptr<TargetSession>&, const Run&, unsigned status, const std::string& body);
    void restart();
    void closeListener();
    nlohmann::json line(const char* event, const Run&) const;
    void mark(const char* state);

    asio::io_context& io_;
    TargetHost& host_;
    Journal& journal_;
    FleetInstance description_;
    Milliseconds rebootTime_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer rebootTimer_;
    std::unordered_set<std::shared_ptr<TargetSession>> sessions_;
    uint64_t epoch_ = 0;
    std::unordered_set<std::shared_ptr<Run>> runs_;
    bool stopping_ = false;
    TargetFault fault_ = TargetFault::None;
    Milliseconds faultTime_ { 0 };
};

} // namespace shallotdrift::standin
