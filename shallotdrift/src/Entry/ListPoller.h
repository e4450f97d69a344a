#pragma once

#include "../Platform/PlatformClient.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace shallotdrift {

// Polls the platform's instance list and tasks on a thread of its own.
class ListPoller {
public:
    using InstancesHandler = std::function<void(InstanceList&&)>;
    using TasksHandler = std::function<void(std::vector<PlatformTask>&&)>;

    ListPoller(PlatformClient&, Milliseconds interval, InstancesHandler, TasksHandler);
    ~ListPoller();
    ListPoller(const ListPoller&) = delete;
    ListPoller& operator=(const ListPoller&) = delete;

    void stop();

private:
    void run();
    void poll();

    PlatformClient& client_;
    Milliseconds interval_;
    InstancesHandler onInstances_;
    TasksHandler onTasks_;
    std::mutex mutex_;
    std::condition_variable stopping_;
    bool stop_ = false;
    std::thread thread_;
};

} // namespace shallotdrift
