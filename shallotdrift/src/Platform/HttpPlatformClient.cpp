#include "HttpPlatformClient.h"

#include "PlatformReplies.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <platform.pb.h>

namespace shallotdrift {

namespace internal {

    static constexpr const char* protobufType = "application/x-protobuf";
    static constexpr const char* jsonType = "application/json";
    static constexpr size_t maximumLogReplyBytes = 64 << 20;
    static constexpr size_t maximumJsonReplyBytes = 16 << 20;
    static constexpr size_t maximumEmptyReplyBytes = 64 << 10;
    static constexpr std::array<std::string_view, 4> commandNames { "renew", "throttle", "checkpoint", "stop" };

    // Ids become a part of the path; a separator or a control character in one would address something else.
    static bool validInPath(std::string_view id)
    {
        if (id.empty() || id.size() > 256)
            return false;
        return id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~:")
            == std::string_view::npos;
    }

    HttpPlatformClient::HttpPlatformClient(PlatformOptions options)
        : callTimeout_(options.callTimeout)
        , exchange_(std::move(options))
    {
    }

    Result<Offset> HttpPlatformClient::append(std::string_view payload)
    {
        proto::AppendRequest request;
        request.set_payload(std::string(payload));
        auto body = request.SerializeAsString();
        HttpCall call { "POST", "/log/append", body, protobufType, callTimeout_, maximumEmptyReplyBytes, { 400, 413 } };
        BOOST_LEAF_AUTO(reply, exchange_.call(call));
        return parseAppendReply(reply);
    }

    Result<LogPage> HttpPlatformClient::read(Offset from, size_t maximumItems, Milliseconds wait)
    {
        HttpCall call;
        call.path = fmt::format("/log/read?from={}&max={}&wait_ms={}", from, maximumItems, wait.count());
        call.timeout = wait + callTimeout_;
        call.maximumReplyBytes = maximumLogReplyBytes;
        call.refusals = { 400 };
        BOOST_LEAF_AUTO(reply, exchange_.call(call));
        return parseReadReply(reply, from, maximumItems);
    }

    Result<InstanceList> HttpPlatformClient::instances()
    {
        BOOST_LEAF_AUTO(reply, fetch("/instances"));
        return parseInstances(reply);
    }

    Result<void> HttpPlatformClient::assign(const std::string& instance, const std::string& pool, uint64_t epoch)
    {
        if (!validInPath(instance))
            return fail(ResultCode::PlatformRefused, "the instance id has characters that a path cannot hold");
        return post("/instances/" + instance + "/assign",
            nlohmann::json { { "pool", pool }, { "epoch", epoch } }.dump(
                -1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    Result<void> HttpPlatformClient::reboot(const std::string& instance, uint64_t epoch)
    {
        if (!validInPath(instance))
            return fail(ResultCode::PlatformRefused, "the instance id has characters that a path cannot hold");
        return post("/instances/" + instance + "/reboot", nlohmann::json { { "epoch", epoch } }.dump());
    }

    Result<void> HttpPlatformClient::startTask(const TaskStart& start)
    {
        nlohmann::json body {
            { "id", start.id },
            { "instance", start.instance },
            { "kind", start.kind },
            { "token", start.token },
            { "lease_ms", start.lease.count() },
            { "cores", start.cores },
            { "memory_mb", start.memoryMegabytes },
            { "accelerators", start.accelerators },
            { "input", start.input },
        };
        return post("/tasks", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    Result<void> HttpPlatformClient::commandTask(const std::string& id, TaskCommand command, uint64_t token)
    {
        if (!validInPath(id))
            return fail(ResultCode::PlatformRefused, "the task id has characters that a path cannot hold");
        return post(fmt::format("/tasks/{}/{}", id, commandNames.at(static_cast<size_t>(command))),
            nlohmann::json { { "token", token } }.dump());
    }

    Result<std::vector<PlatformTask>> HttpPlatformClient::tasks()
    {
        BOOST_LEAF_AUTO(reply, fetch("/tasks"));
        return parseTasks(reply);
    }

    Result<void> HttpPlatformClient::post(std::string path, const std::string& json)
    {
        HttpCall call { "POST", std::move(path), json, jsonType, callTimeout_, maximumEmptyReplyBytes,
            { 400, 404, 409, 410, 413, 422 } };
        BOOST_LEAF_CHECK(exchange_.call(call));
        return {};
    }

    Result<std::string> HttpPlatformClient::fetch(std::string path)
    {
        HttpCall call;
        call.path = std::move(path);
        call.timeout = callTimeout_;
        call.maximumReplyBytes = maximumJsonReplyBytes;
        return exchange_.call(call);
    }

} // namespace internal

std::unique_ptr<PlatformClient> makeHttpPlatformClient(PlatformOptions options)
{
    return std::make_unique<internal::HttpPlatformClient>(std::move(options));
}

} // namespace shallotdrift
