#include "OperatorServer.h"

#include "../Base/Logging.h"
#include "../Settings/ValueFormat.h"
#include "OperatorListener.h"

#include <fmt/format.h>
#include <fstream>
#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>
#include <iterator>
#include <operator.grpc.pb.h>
#include <type_traits>

namespace shallotdrift {

// Operators are few; these limits keep a faulty client from exhausting the memory and threads of the entry instance.
static constexpr int maximumThreads = 12;
static constexpr size_t maximumQuotaBytes = 16 << 20;
static constexpr size_t maximumConnections = 32;
static constexpr int maximumStreamsPerConnection = 16;
static constexpr int maximumIdleMilliseconds = 60000;
static constexpr int handshakeTimeoutMilliseconds = 5000;
static constexpr std::chrono::seconds shutdownTimeout { 2 };
// Shorter than the default timeout of the commands (10 s), so that the reply still reaches the operator.
static constexpr Milliseconds managerTimeout { 5000 };

template <typename Request, typename = void> struct CarriesChange : std::false_type {
};
template <typename Request>
struct CarriesChange<Request, std::void_t<decltype(std::declval<Request>().change())>> : std::true_type {
};

// Forwards requests to the backend. Under TLS, sets the operator name of a change to the common name of the client
// certificate.
class OperatorService final : public proto::Operator::Service {
public:
    OperatorService(OperatorBackend& backend, bool authenticated)
        : backend_(backend)
        , authenticated_(authenticated)
    {
    }

#define SHALLOTDRIFT_OPERATOR_CALL(rpc, RequestType, ReplyType)                                                        \
    grpc::Status rpc(grpc::ServerContext* context, const proto::RequestType* request, proto::ReplyType* reply)         \
        override                                                                                                       \
    {                                                                                                                  \
        return forward(#rpc, *context, *request, *reply);                                                              \
    }
    SHALLOTDRIFT_OPERATOR_CALL(Status, StatusRequest, StatusReply)
    SHALLOTDRIFT_OPERATOR_CALL(Explain, ExplainRequest, ExplainReply)
    SHALLOTDRIFT_OPERATOR_CALL(Audit, AuditRequest, AuditReply)
    SHALLOTDRIFT_OPERATOR_CALL(ListHandbook, ListHandbookRequest, ListHandbookReply)
    SHALLOTDRIFT_OPERATOR_CALL(ShowHandbook, ShowHandbookRequest, HandbookEntry)
    SHALLOTDRIFT_OPERATOR_CALL(ProposeHandbook, ProposeHandbookRequest, ChangeReply)
    SHALLOTDRIFT_OPERATOR_CALL(ReviewHandbook, ReviewHandbookRequest, ChangeReply)
    SHALLOTDRIFT_OPERATOR_CALL(Rehearse, RehearseRequest, RehearseReply)
    SHALLOTDRIFT_OPERATOR_CALL(Invoke, InvokeRequest, ChangeReply)
    SHALLOTDRIFT_OPERATOR_CALL(Lend, LendRequest, ChangeReply)
    SHALLOTDRIFT_OPERATOR_CALL(ReturnLent, ReturnLentRequest, ChangeReply)
    SHALLOTDRIFT_OPERATOR_CALL(Drain, DrainRequest, ChangeReply)
    SHALLOTDRIFT_OPERATOR_CALL(StartWave, StartWaveRequest, ChangeReply)
    SHALLOTDRIFT_OPERATOR_CALL(ChangeWave, ChangeWaveRequest, ChangeReply)
#undef SHALLOTDRIFT_OPERATOR_CALL

private:
    template <typename Request, typename Reply>
    grpc::Status forward(const char* call, const grpc::ServerContext& context, Request request, Reply& reply)
    {
        // Do not start a change whose reply the client no longer waits for.
        if (context.IsCancelled())
            return { grpc::StatusCode::CANCELLED, "the call was cancelled by the client" };
        if constexpr (CarriesChange<Request>::value) {
            if (authenticated_)
                request.mutable_change()->set_operator_name(commonNameOf(context));
            logger("operators")
                ->info("{} called by operator {} with change id {}", call,
                    internal::isName(request.change().operator_name()) ? request.change().operator_name() : "(unnamed)",
                    internal::isName(request.change().change_id()) ? request.change().change_id() : "(invalid)");
        }
        auto bytes = backend_.call(call, request.SerializeAsString(), managerTimeout);
        if (!bytes || !reply.ParseFromString(*bytes)) {
            reply.set_result_code(static_cast<uint32_t>(ResultCode::NotReady));
            reply.set_message(
                "the fleet manager did not reply in time; a change can be repeated with the same change id");
        }
        return grpc::Status::OK;
    }

    static std::string commonNameOf(const grpc::ServerContext& context)
    {
        auto names = context.auth_context()->FindPropertyValues(GRPC_X509_CN_PROPERTY_NAME);
        return names.size() == 1 ? std::string(names.front().data(), names.front().size()) : std::string();
    }

    OperatorBackend& backend_;
    bool authenticated_;
};

static Result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (!file.is_open() || text.empty())
        return fail(ResultCode::InvalidSettings, fmt::format("file {} cannot be read or is empty", path));
    return text;
}

static bool usesTls(const OperatorServerOptions& options) { return !options.certificateFile.empty(); }

static Result<std::shared_ptr<grpc::ServerCredentials>> credentialsOf(const OperatorServerOptions& options)
{
    if (!usesTls(options)) {
        // isLoopbackAddress rejects port 0, which is valid here: the system then chooses a port.
        auto host = options.listenAddress.substr(0, options.listenAddress.rfind(':'));
        if (!internal::isLoopbackAddress(host + ":1"))
            return fail(ResultCode::InvalidSettings,
                fmt::format(
                    "operator listener {}: without TLS files a loopback address is required", options.listenAddress));
        return grpc::InsecureServerCredentials();
    }
    BOOST_LEAF_AUTO(certificate, readFile(options.certificateFile));
    BOOST_LEAF_AUTO(key, readFile(options.keyFile));
    BOOST_LEAF_AUTO(authority, readFile(options.clientAuthorityFile));
    grpc::SslServerCredentialsOptions ssl(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    ssl.pem_root_certs = authority;
    ssl.pem_key_cert_pairs.push_back({ key, certificate });
    return grpc::SslServerCredentials(ssl);
}

class OperatorServer::Implementation {
public:
    Implementation(OperatorServerOptions options, OperatorBackend& backend)
        : options_(std::move(options))
        , service_(backend, usesTls(options_))
        , listener_({ maximumConnections, maximumStreamsPerConnection, usesTls(options_) },
              [this](int descriptor) { handOver(descriptor); })
    {
    }

    Result<void> start()
    {
        BOOST_LEAF_AUTO(credentials, credentialsOf(options_));
        grpc::ResourceQuota quota("operators");
        quota.SetMaxThreads(maximumThreads).Resize(maximumQuotaBytes);
        grpc::ServerBuilder builder;
        builder.SetResourceQuota(quota);
        builder.SetMaxReceiveMessageSize(static_cast<int>(options_.maximumMessageBytes));
        builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, maximumStreamsPerConnection);
        builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, maximumIdleMilliseconds);
        builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, handshakeTimeoutMilliseconds);
        acceptor_ = builder.experimental().AddExternalConnectionAcceptor(
            grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD, credentials);
        builder.RegisterService(&service_);
        server_ = builder.BuildAndStart();
        if (!server_)
            return fail(ResultCode::InvalidSettings,
                fmt::format("operator listener {}: cannot start the server", options_.listenAddress));
        return listener_.start(options_.listenAddress);
    }

    void logListening() const
    {
        if (usesTls(options_))
            logger("operators")
                ->info("listening on {} (port {}) with TLS; client certificates are required", options_.listenAddress,
                    port());
        else
            logger("operators")
                ->warn("listening on {} without TLS: only local processes can connect, and operator names are "
                       "not authenticated",
                    options_.listenAddress);
    }

    void stop()
    {
        if (server_)
            server_->Shutdown(std::chrono::system_clock::now() + shutdownTimeout);
        listener_.stop();
        server_.reset();
    }

    uint16_t port() const { return listener_.port(); }

private:
    void handOver(int descriptor)
    {
        grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters parameters;
        parameters.fd = descriptor;
        acceptor_->HandleNewConnection(&parameters);
    }

    OperatorServerOptions options_;
    OperatorService service_;
    std::unique_ptr<grpc::Server> server_;
    std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> acceptor_;
    OperatorListener listener_;
};

OperatorServer::OperatorServer(OperatorServerOptions options, OperatorBackend& backend)
    : implementation_(std::make_unique<Implementation>(std::move(options), backend))
{
}

OperatorServer::~OperatorServer() { stop(); }

Result<void> OperatorServer::start()
{
    BOOST_LEAF_CHECK(implementation_->start());
    implementation_->logListening();
    return {};
}

void OperatorServer::stop() { implementation_->stop(); }

uint16_t OperatorServer::port() const { return implementation_->port(); }

} // namespace shallotdrift
