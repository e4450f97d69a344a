#pragma once

#include "../Base/BoundedRing.h"
#include "../Platform/PlatformClient.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace shallotdrift {

// A call of the platform that the decision loop asks for.
struct PlatformCall {
    enum class Type : uint8_t {
        Assign,
        Reboot,
        StartTask,
        CommandTask,
    };
    Type type = Type::Assign;
    std::string operationId; // move id, "<wave>/<instance>" or task id
    std::string instance;
    std::string pool;
    uint64_t epoch = 0;
    TaskStart task;
    TaskCommand command = TaskCommand::Renew;
    uint64_t token = 0;
};

struct PlatformCallResult {
    PlatformCall call;
    ResultCode code = ResultCode::Ok;
    std::string message;
};

// Makes the platform's slow calls (reboots take seconds) on threads of its own.
class PlatformCalls {
public:
    using ResultHandler = std::function<void(PlatformCallResult&&)>; // on one of the threads

    PlatformCalls(PlatformClient&, size_t threads, ResultHandler);
    ~PlatformCalls();
    PlatformCalls(const PlatformCalls&) = delete;
    PlatformCalls& operator=(const PlatformCalls&) = delete;

    // False when the ring is full; the caller asks again later.
    bool submit(PlatformCall);
    void stop();

private:
    void run();
    Result<void> make(const PlatformCall&);

    PlatformClient& client_;
    ResultHandler onResult_;
    BoundedRing<PlatformCall> calls_;
    std::vector<std::thread> threads_;
};

} // namespace shallotdrift
