#include "ListPoller.h"

#include "../Base/Logging.h"

namespace shallotdrift {

ListPoller::ListPoller(
    PlatformClient& client, Milliseconds interval, InstancesHandler onInstances, TasksHandler onTasks)
    : client_(client)
    , interval_(interval)
    , onInstances_(std::move(onInstances))
    , onTasks_(std::move(onTasks))
    , thread_([this] { run(); })
{
}

ListPoller::~ListPoller() { stop(); }

void ListPoller::stop()
{
    {
        std::lock_guard lock(mutex_);
        stop_ = true;
    }
    stopping_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void ListPoller::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_.wait_for(lock, interval_, [this] { return stop_; })) {
        lock.unlock();
        poll();
        lock.lock();
    }
}

void ListPoller::poll()
{
    auto report = [](const Error& error) { logger("list")->debug("poll failed: {}", error.message); };
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(list, client_.instances());
            onInstances_(std::move(list));
            BOOST_LEAF_AUTO(tasks, client_.tasks());
            onTasks_(std::move(tasks));
            return {};
        },
        report);
}

} // namespace shallotdrift
