#pragma once

#include "../Base/Time.h"

#include <condition_variable>
#include <mutex>

namespace shallotdrift::internal {

// Stop flag of a thread whose pauses end as soon as it is asked to stop.
class StoppableWait {
public:
    // Returns false when the stop was requested before the time was over.
    bool pauseFor(Duration time)
    {
        std::unique_lock lock(mutex_);
        return !condition_.wait_for(lock, time, [this] { return stopped_; });
    }

    void requestStop()
    {
        {
            std::lock_guard lock(mutex_);
            stopped_ = true;
        }
        condition_.notify_all();
    }

    bool stopRequested() const
    {
        std::lock_guard lock(mutex_);
        return stopped_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable condition_;
    bool stopped_ = false;
};

} // namespace shallotdrift::internal
