#pragma once

#include "shallotdrift/Platform.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace shallotdrift {

// Platform in memory: a log, and failures that the next calls meet.
class FakePlatform : public PlatformClient {
public:
    Result<Offset> append(std::string_view payload) override
    {
        std::lock_guard lock(mutex);
        attempts.push_back(BootClock::now());
        auto failure = takeFailure(appendFailures);
        if (outage)
            failure = ResultCode::PlatformUnavailable;
        // The action takes effect when only the answer is lost.
        if (failure == ResultCode::Ok || failure == ResultCode::AnswerLost)
            payloads.emplace_back(payload);
        if (failure != ResultCode::Ok)
            return fail(failure, "scripted");
        changed.notify_all();
        return payloads.size();
    }

    Result<LogPage> read(Offset from, size_t maximumItems, Milliseconds wait) override
    {
        std::unique_lock lock(mutex);
        ++reads;
        auto failure = takeFailure(readFailures);
        if (outage)
            failure = ResultCode::PlatformUnavailable;
        if (failure != ResultCode::Ok)
            return fail(failure, "scripted");
        changed.wait_for(lock, wait, [&] { return payloads.size() >= from || earliest > from; });
        LogPage page;
        page.earliest = earliest;
        page.next = payloads.size() + 1;
        for (auto offset = std::max(from, earliest); offset < page.next && page.items.size() < maximumItems; ++offset)
            page.items.push_back({ offset, payloads[offset - 1] });
        if (reverseNext && page.items.size() > 1) {
            std::swap(page.items.front().offset, page.items.back().offset);
            reverseNext = false;
        }
        return page;
    }

    Result<InstanceList> instances() override { return InstanceList(); }
    Result<void> assign(const std::string&, const std::string&, uint64_t) override { return {}; }
    Result<void> reboot(const std::string&, uint64_t) override { return {}; }
    Result<void> startTask(const TaskStart&) override { return {}; }
    Result<void> commandTask(const std::string&, TaskCommand, uint64_t) override { return {}; }
    Result<std::vector<PlatformTask>> tasks() override { return std::vector<PlatformTask>(); }

    void setOutage(bool value)
    {
        std::lock_guard lock(mutex);
        outage = value;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::deque<ResultCode> appendFailures;
    std::deque<ResultCode> readFailures;
    bool outage = false;
    bool reverseNext = false;
    Offset earliest = 1;
    std::vector<std::string> payloads;
    std::vector<Instant> attempts;
    size_t reads = 0;

private:
    static ResultCode takeFailure(std::deque<ResultCode>& failures)
    {
        if (failures.empty())
            return ResultCode::Ok;
        auto failure = failures.front();
        failures.pop_front();
        return failure;
    }
};

// Polls until the condition holds or the limit has passed.
template <typename Condition> bool eventually(Condition&& condition, Milliseconds limit = Milliseconds(5000))
{
    auto end = BootClock::now() + limit;
    while (!condition()) {
        if (BootClock::now() > end)
            return false;
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return true;
}

// Code of the error that the call returns; Ok when there is none. The call runs inside the handling, because LEAF keeps
// an error's objects only there.
template <typename Call> ResultCode codeOf(Call&& call)
{
    return handleError(
        [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(call());
            return ResultCode::Ok;
        },
        [](const Error& error) { return error.code; });
}

} // namespace shallotdrift
