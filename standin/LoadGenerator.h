#pragma once

#include "Journal.h"
#include "LoadConnection.h"
#include "LoadPlan.h"
#include "LoadReport.h"

#include <memory>

namespace shallotdrift::standin {

struct LoadOptions {
    std::vector<asio::ip::tcp::endpoint> entries;
    Duration length {};
    uint64_t seed = 1;
    Milliseconds patience { 5000 }; // beyond the timeout, until the caller gives up
};

// Sends requests at the times of a Poisson process for each kind, whatever the answers do, and retries as planned.
class LoadGenerator {
public:
    LoadGenerator(asio::io_context&, std::vector<LoadKind>, LoadOptions, Journal&);

    // Returns at once; the io_context runs until the last answer.
    void start();
    // Ends sending early.
    void finish() { stopped_ = true; }
    // Requests without a last answer.
    uint64_t open() const { return open_; }
    const LoadReport& report() const { return report_; }

private:
    struct Entry {
        asio::ip::tcp::endpoint endpoint;
        std::string name;
        std::vector<std::shared_ptr<LoadConnection>> idle;
        Instant avoidUntil {};
    };
    struct Request;

    void scheduleNext(size_t kind, Duration from);
    void begin(const LoadKind&);
    void send(const std::shared_ptr<Request>&, size_t excludedEntry);
    size_t chooseEntry(size_t excluded);
    std::string format(const Request&) const;
    void onOutcome(const std::shared_ptr<Request>&, size_t entry, CallOutcome&&);
    ResultCode judge(const Request&, const CallOutcome&, nlohmann::json& line);
    bool mayRetry(const Request&, ResultCode) const;

    asio::io_context& io_;
    DeadlineQueue deadlines_;
    std::vector<LoadKind> kinds_;
    LoadOptions options_;
    Journal& journal_;
    std::vector<Entry> entries_;
    std::vector<std::unique_ptr<asio::steady_timer>> timers_;
    std::mt19937_64 random_;
    std::string runName_;
    Instant started_ {};
    uint64_t lastNumber_ = 0;
    uint64_t open_ = 0;
    bool stopped_ = false;
    LoadReport report_;
};

} // namespace shallotdrift::standin
