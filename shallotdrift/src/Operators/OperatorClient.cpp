#include "OperatorClient.h"

#include "TextTable.h"

#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace shallotdrift::internal {

// Enough for an audit reply of 2,000 events, the maximum of audit --limit.
static constexpr int maximumReplyBytes = 16 << 20;

static Result<std::string> readPem(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (!file.is_open() || text.empty())
        return fail(ResultCode::InvalidCommand, fmt::format("file {} cannot be read or is empty", path));
    return text;
}

OperatorClient::OperatorClient(const OperatorCommandOptions& options, std::ostream& errors)
    : options_(options)
    , errors_(errors)
{
}

Result<std::shared_ptr<grpc::ChannelCredentials>> OperatorClient::credentials() const
{
    bool usesTls = !options_.certificateFile.empty() || !options_.keyFile.empty() || !options_.authorityFile.empty();
    if (!usesTls)
        return grpc::InsecureChannelCredentials();
    if (options_.certificateFile.empty() || options_.keyFile.empty() || options_.authorityFile.empty())
        return fail(ResultCode::InvalidCommand,
            "--certificate_file, --key_file and --authority_file have to be given together");
    grpc::SslCredentialsOptions ssl;
    BOOST_LEAF_ASSIGN(ssl.pem_root_certs, readPem(options_.authorityFile));
    BOOST_LEAF_ASSIGN(ssl.pem_private_key, readPem(options_.keyFile));
    BOOST_LEAF_ASSIGN(ssl.pem_cert_chain, readPem(options_.certificateFile));
    return grpc::SslCredentials(ssl);
}

// An entry instance that cannot reach the fleet manager replies NotReady; another entry instance may be able to reach
// it.
static bool shouldTryNextEntry(ResultCode code) { return code == ResultCode::NotReady; }

static ResultCode resultCodeOf(const grpc::Status& status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
        return ResultCode::TooLarge;
    case grpc::StatusCode::UNAUTHENTICATED:
    case grpc::StatusCode::PERMISSION_DENIED:
        return ResultCode::NotAuthorized;
    default:
        return ResultCode::EntryUnreachable;
    }
}

Result<void> OperatorClient::callWithFailover(const AttemptFunction& attemptCall)
{
    if (options_.entryAddresses.empty())
        return fail(ResultCode::InvalidCommand, "no entry instance given; use --entries=IP:PORT,...");
    BOOST_LEAF_AUTO(channelCredentials, credentials());
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(maximumReplyBytes);
    // Ignore proxies set in the environment, which could read the operators' requests.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    auto lastCode = ResultCode::EntryUnreachable;
    for (const auto& address : options_.entryAddresses) {
        auto stub = proto::Operator::NewStub(grpc::CreateCustomChannel(address, channelCredentials, arguments));
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + options_.timeout);
        auto attempt = attemptCall(*stub, context);
        if (attempt.status.ok() && !shouldTryNextEntry(attempt.code))
            return {};
        if (attempt.status.ok()) {
            lastCode = attempt.code;
            errors_ << fmt::format("entry {} replied {}: {}\n", address, static_cast<unsigned>(attempt.code),
                resultCodeInfo(attempt.code).description);
            continue;
        }
        auto code = resultCodeOf(attempt.status);
        auto message = fmt::format(
            "call to entry {} failed: {}", address, withoutControlCharacters(attempt.status.error_message()));
        if (code != ResultCode::EntryUnreachable)
            return fail(code, message);
        errors_ << message << "\n";
    }
    return fail(lastCode,
        lastCode == ResultCode::EntryUnreachable ? "no entry instance is reachable"
                                                 : "no entry instance can reach the fleet manager");
}

} // namespace shallotdrift::internal
