#pragma once

#include "../Http/HttpServer.h"
#include "../Operators/OperatorBackend.h"
#include "Membership.h"

namespace shallotdrift::internal {

// Forwards operators' calls to the fleet manager, which runs on this or another entry instance. A call that explains a
// job is not forwarded, but answered here from the job's records in the store.
class OperatorCallRouter final : public OperatorBackend {
public:
    using ReplyCallback = std::function<void(std::optional<std::string>)>; // nullopt: no reply
    // Returns null while the fleet manager is not on this entry instance.
    using FindLocalManager = std::function<std::shared_ptr<FleetManager>()>;

    OperatorCallRouter(NodeContext&, Membership&, FindLocalManager);

    // Blocks the calling thread, which must not be the Asio thread.
    std::optional<std::string> call(const char* name, std::string request, Milliseconds timeout) override;
    // Handles a call that another entry instance has forwarded.
    void handlePeer(HttpMessage&&, HttpServer::ResponseCallback);
    static bool isPeerCall(std::string_view target);

private:
    struct Call {
        Call(asio::io_context& io)
            : timer(io)
        {
        }
        std::string name;
        std::string request;
        Instant deadline {};
        ReplyCallback reply;
        asio::steady_timer timer;
    };
    using CallPointer = std::shared_ptr<Call>;

    void attempt(const CallPointer&);
    void onReply(const CallPointer&, std::optional<std::string>);
    bool tryExplainJob(const CallPointer&);
    void explainJob(const CallPointer&, const std::string& queue, const std::string& job);
    void readJobRecords(const CallPointer&, const std::string& service, uint32_t partition, const std::string& job,
        const std::string& after, std::vector<platform::KeyedRecord>);

    NodeContext& context_;
    Membership& membership_;
    FindLocalManager findLocalManager_;
};

} // namespace shallotdrift::internal
