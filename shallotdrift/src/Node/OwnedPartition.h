#pragma once

#include "../Http/HttpServer.h"
#include "PartitionWriter.h"
#include "RecordReader.h"
#include "WorkerSessions.h"

#include <deque>

namespace shallotdrift::internal {

// A request about a job or a queue, as it reaches the owner of the queue's service.
struct OwnerRequest {
    enum class Type : uint8_t { Submit, Query, Cancel, Count };
    Type type = Type::Query;
    std::string queue;
    std::string job; // empty for Count
    std::string body;
};

// The state and the decisions of the services of one partition, while this entry instance owns it. A change is answered
// or ordered once its record is stored.
class OwnedPartition : public std::enable_shared_from_this<OwnedPartition> {
public:
    using ResponseCallback = HttpServer::ResponseCallback;

    OwnedPartition(NodeContext&, uint32_t number, uint64_t token, std::function<void()> onFenced);
    ~OwnedPartition();

    void start();
    // Gives up the ownership: nothing is written or ordered from now on.
    void stop();
    bool active() const { return active_; }
    uint64_t token() const { return token_; }

    // Answers 421 while the state is not loaded.
    void handle(OwnerRequest&&, ResponseCallback);
    void onConfiguration();
    void onRegistry();

    struct Service {
        Service(NodeContext&, const std::string& name, const ServiceSchedulerOptions&, uint64_t token,
            WorkerSessions::Callbacks);
        ServiceScheduler scheduler;
        WorkerSessions sessions;
    };
    std::map<std::string, std::unique_ptr<Service>>& services() { return services_; }
    void runSchedulingCycle();

private:
    struct Submission {
        std::string queue;
        std::string job;
        JobSpec spec;
        ResponseCallback respond;
    };

    void addLoadedRecord(platform::KeyedRecord&&);
    void finishLoad();
    Service& service(const std::string& name);
    void submit(OwnerRequest&&, ResponseCallback);
    void query(const OwnerRequest&, ResponseCallback);
    void cancel(const OwnerRequest&, ResponseCallback);
    void admitSubmissions();
    void callWhenStored(std::function<void()>);
    bool mayExtendLeases() const;
    bool storeStalled(Instant now) const;
    void refuseSubmissions();
    void later();
    void tick();
    void logShortage(const Now&);
    void reportFenced(const char* by);
    bool hasJob(const std::string& job) const;

    NodeContext& context_;
    uint32_t number_;
    uint64_t token_;
    std::function<void()> onFenced_;
    PartitionWriter writer_;
    RecordReader reader_;
    Instant shortageLoggedAt_ {};
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Instant startedAt_ = BootClock::now();
    bool active_ = false;
    bool cycleRequested_ = false;
    bool inCycle_ = false;
    std::map<std::string, std::pair<std::string, std::string>> loadedRecords_; // job -> specification, state
    std::map<std::string, std::unique_ptr<Service>> services_;
    std::deque<Submission> submissions_;
    std::vector<std::function<void()>> callbacksWhenStored_; // answers for changes that are not in an append yet
};

} // namespace shallotdrift::internal
