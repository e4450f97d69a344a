#pragma once

#include "../Http/HttpServer.h"
#include "PartitionWriter.h"
#include "RecordReader.h"
#include "WorkerSessions.h"

#include <deque>

namespace shallotdrift::internal {

// A caller's request about a job or a queue, as the router hands it to the owner of the queue's service.
struct OwnerRequest {
    enum class Type : uint8_t { Submit, Query, Cancel, Count };
    Type type = Type::Query;
    std::string queue;
    std::string job; // id; empty for Count
    std::string body;
    // Of the caller; nullopt: the queue's jobs are open to everyone.
    std::optional<std::string> account {};
    uint64_t configurationVersion = 0; // by which the router found the queue; 0: unknown
};

// Owns the services whose state is stored in one partition: keeps the state, makes the scheduling decisions and gives
// the workers their orders. A change is confirmed, and a start ordered, only when its records are stored. onFenced is
// called when a later owner has taken the partition over; the object is to be destroyed then.
class OwnedPartition : public std::enable_shared_from_this<OwnedPartition> {
public:
    using ResponseCallback = HttpServer::ResponseCallback;

    OwnedPartition(NodeContext&, uint32_t number, uint64_t fencingToken, std::function<void()> onFenced);
    ~OwnedPartition();

    // Fences the earlier owner and loads the state; active() is true afterwards.
    void start();
    // Gives up the ownership: afterwards no record is written and no order is sent. Refuses the submissions that are
    // not stored yet.
    void stop();
    bool active() const { return active_; }
    uint64_t fencingToken() const { return fencingToken_; }

    // Responds with 421 until the state is loaded, and when a job is unknown while the ownership is not confirmed.
    void handle(OwnerRequest&&, ResponseCallback);
    void onConfiguration();
    void onRegistry();

    struct Service {
        Service(NodeContext&, const std::string& name, const ServiceSchedulerOptions&, uint64_t fencingToken,
            WorkerSessions::Callbacks);
        ServiceScheduler scheduler;
        WorkerSessions sessions;
    };
    std::map<std::string, std::unique_ptr<Service>>& services() { return services_; }
    const std::map<std::string, std::unique_ptr<Service>>& services() const { return services_; }
    // Applies the submissions, plans, stores the changed records, and then sends the orders and the responses that
    // waited for these records. While an append is in flight, puts the cycle off until the append is stored.
    void runSchedulingCycle();

private:
    struct Submission {
        std::string queue;
        std::string job;
        std::string account; // empty: none
        bool beyondShare; // of the account
        JobSpec spec;
        uint64_t configurationVersion; // see OwnerRequest
        ResponseCallback respond;
    };

    void addLoadedRecord(platform::KeyedRecord&&);
    void finishLoad();
    void configureServices();
    Service& service(const std::string& name); // created on the first call
    void submit(OwnerRequest&&, ResponseCallback);
    std::optional<HttpResponse> refuseQueue(
        const std::string& job, const std::string& queue, uint64_t routerVersion) const;
    bool refuseBeyondShare(const OwnerRequest&, bool beyondShare, const ResponseCallback&);
    void query(const OwnerRequest&, ResponseCallback);
    void cancel(const OwnerRequest&, ResponseCallback);
    void respondUnknownJob(ResponseCallback);
    void confirmUnknownJobs();
    void admitSubmissions();
    void callWhenStored(std::function<void()>);
    void failUnstorable(const std::string& job);
    bool mayExtendLeases() const;
    bool storeStalled(Instant now) const;
    void refuseSubmissions();
    void later();
    void tick();
    void logShortage(const Now&);
    void reportFenced(const char* by);
    bool hasJob(const std::string& job) const;
    std::optional<ServiceScheduler::JobOrigin> originOf(const std::string& job) const;

    NodeContext& context_;
    uint32_t number_;
    uint64_t fencingToken_;
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
    std::map<std::string, std::pair<std::string, Job::StateParts>> loadedRecords_; // job id -> specification, state
    std::map<std::string, std::unique_ptr<Service>> services_;
    std::deque<Submission> submissions_;
    // Requests about unknown jobs, which wait until a join that was sent after them has confirmed the ownership.
    struct UnknownJobRequest {
        Instant receivedAt;
        ResponseCallback respond;
    };
    std::vector<UnknownJobRequest> unknownJobRequests_;
    std::vector<std::function<void()>> callbacksWhenStored_; // of changes that no append contains yet
};

} // namespace shallotdrift::internal
