#include "PlatformCalls.h"

namespace shallotdrift {

static constexpr size_t ringCapacity = 4096;
static constexpr Milliseconds pollInterval { 200 };

PlatformCalls::PlatformCalls(PlatformClient& client, size_t threads, ResultHandler onResult)
    : client_(client)
    , onResult_(std::move(onResult))
    , calls_(ringCapacity)
{
    for (size_t i = 0; i < threads; ++i)
        threads_.emplace_back([this] { run(); });
}

PlatformCalls::~PlatformCalls() { stop(); }

bool PlatformCalls::submit(PlatformCall call) { return calls_.tryPush(std::move(call)); }

void PlatformCalls::stop()
{
    calls_.close();
    for (auto& thread : threads_)
        thread.join();
    threads_.clear();
}

Result<void> PlatformCalls::make(const PlatformCall& call)
{
    switch (call.type) {
    case PlatformCall::Type::Assign:
        return client_.assign(call.instance, call.pool, call.epoch);
    case PlatformCall::Type::Reboot:
        return client_.reboot(call.instance, call.epoch);
    case PlatformCall::Type::StartTask:
        return client_.startTask(call.task);
    case PlatformCall::Type::CommandTask:
        return client_.commandTask(call.task.id, call.command, call.token);
    }
    return fail(ResultCode::Internal, "unknown platform call");
}

void PlatformCalls::run()
{
    while (true) {
        auto call = calls_.popFor(pollInterval);
        if (!call) {
            if (calls_.closed())
                return;
            continue;
        }
        PlatformCallResult result { *call, ResultCode::Ok, {} };
        auto error = handleError(
            [&]() -> Result<Error> {
                BOOST_LEAF_CHECK(make(*call));
                return Error { ResultCode::Ok, {} };
            },
            [](const Error& failure) { return failure; });
        result.code = error.code;
        result.message = error.message;
        onResult_(std::move(result));
    }
}

} // namespace shallotdrift
