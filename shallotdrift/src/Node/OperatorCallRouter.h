#pragma once

#include "../Http/HttpServer.h"
#include "../Operators/OperatorBackend.h"
#include "Membership.h"

namespace shallotdrift::internal {

// Passes the calls of operators to the manager of the fleet, here or at another entry instance. The records of jobs are
// read from the store directly.
class OperatorCallRouter final : public OperatorBackend {
public:
    using ReplyCallback = std::function<void(std::optional<std::string>)>; // empty: not answered
    // Null while the manager is not here.
    using FindLocalManager = std::function<std::shared_ptr<FleetManager>()>;

    OperatorCallRouter(NodeContext&, Membership&, FindLocalManager);

    std::optional<std::string> call(const char* name, std::string request, Milliseconds timeout) override;
    // A call that another entry instance passes on.
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

    NodeContext& context_;
    Membership& membership_;
    FindLocalManager findLocalManager_;
};

} // namespace shallotdrift::internal
