#pragma once

#include "OperatorCommands.h"

#include "../Base/Error.h"

#include <chrono>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <operator.grpc.pb.h>
#include <ostream>

namespace shallotdrift::internal {

// gRPC client of the operators' commands. Tries the entry instances in order until one can reach the fleet manager or
// refuses the call. A change has the same change id in each attempt, so that it is applied only once even if the reply
// to an earlier attempt was lost.
class OperatorClient {
public:
    OperatorClient(const OperatorCommandOptions&, std::ostream& errors);

    template <typename Request, typename Reply>
    using Method = grpc::Status (proto::Operator::Stub::*)(grpc::ClientContext*, const Request&, Reply*);

    template <typename Request, typename Reply>
    Result<Reply> call(Method<Request, Reply> method, const Request& request)
    {
        Reply reply;
        BOOST_LEAF_CHECK(callWithFailover([&](proto::Operator::Stub& stub, grpc::ClientContext& context) {
            Reply attemptReply;
            auto status = (stub.*method)(&context, request, &attemptReply);
            if (status.ok())
                reply = std::move(attemptReply);
            return Attempt { status, resultCodeFromNumber(reply.result_code()).value_or(ResultCode::Internal) };
        }));
        return reply;
    }

private:
    struct Attempt {
        grpc::Status status;
        ResultCode code;
    };
    using AttemptFunction = std::function<Attempt(proto::Operator::Stub&, grpc::ClientContext&)>;

    Result<void> callWithFailover(const AttemptFunction&);
    Result<std::shared_ptr<grpc::ChannelCredentials>> credentials() const;

    const OperatorCommandOptions& options_;
    std::ostream& errors_;
};

} // namespace shallotdrift::internal
