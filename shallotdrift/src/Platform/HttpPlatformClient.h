#pragma once

#include "HttpExchange.h"
#include "PlatformClient.h"

namespace shallotdrift::internal {

// The platform's calls over HTTP/1.1: log calls with protobuf bodies, the others with JSON.
class HttpPlatformClient : public PlatformClient {
public:
    explicit HttpPlatformClient(PlatformOptions);

    Result<Offset> append(std::string_view payload) override;
    Result<LogPage> read(Offset from, size_t maximumItems, Milliseconds wait) override;
    Result<InstanceList> instances() override;
    Result<void> assign(const std::string& instance, const std::string& pool, uint64_t epoch) override;
    Result<void> reboot(const std::string& instance, uint64_t epoch) override;
    Result<void> startTask(const TaskStart&) override;
    Result<void> commandTask(const std::string& id, TaskCommand, uint64_t token) override;
    Result<std::vector<PlatformTask>> tasks() override;

private:
    Result<void> post(std::string path, const std::string& json);
    Result<std::string> fetch(std::string path);

    Milliseconds callTimeout_;
    HttpExchange exchange_;
};

} // namespace shallotdrift::internal
