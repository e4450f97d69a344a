#pragma once

#include "Time.h"

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace shallotdrift {

// Bounded queue between two duties' threads; any number of producers and consumers.
// A producer chooses what a full ring means: tryPush refuses, push waits.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(size_t capacity)
        : items_(capacity)
    {
    }

    // Moves from the item only on success.
    bool tryPush(T&& item)
    {
        {
            std::lock_guard lock(mutex_);
            if (closed_ || items_.full())
                return false;
            items_.push_back(std::move(item));
        }
        notEmpty_.notify_one();
        return true;
    }

    // Waits for room. Returns false once the ring is closed.
    bool push(T item)
    {
        {
            std::unique_lock lock(mutex_);
            notFull_.wait(lock, [this] { return closed_ || !items_.full(); });
            if (closed_)
                return false;
            items_.push_back(std::move(item));
        }
        notEmpty_.notify_one();
        return true;
    }

    std::optional<T> tryPop()
    {
        std::unique_lock lock(mutex_);
        return popLocked(lock);
    }

    // Waits up to the given time; empty on timeout, or when the ring is closed and drained.
    std::optional<T> popFor(Duration timeout)
    {
        std::unique_lock lock(mutex_);
        notEmpty_.wait_for(lock, timeout, [this] { return closed_ || !items_.empty(); });
        return popLocked(lock);
    }

    // Items already pushed can still be popped.
    void close()
    {
        {
            std::lock_guard lock(mutex_);
            closed_ = true;
        }
        notEmpty_.notify_all();
        notFull_.notify_all();
    }

    bool closed() const
    {
        std::lock_guard lock(mutex_);
        return closed_;
    }

    size_t size() const
    {
        std::lock_guard lock(mutex_);
        return items_.size();
    }

private:
    std::optional<T> popLocked(std::unique_lock<std::mutex>& lock)
    {
        if (items_.empty())
            return std::nullopt;
        std::optional<T> item(std::move(items_.front()));
        items_.pop_front();
        lock.unlock();
        notFull_.notify_one();
        return item;
    }

    mutable std::mutex mutex_;
    std::condition_variable notEmpty_;
    std::condition_variable notFull_;
    boost::circular_buffer<T> items_;
    bool closed_ = false;
};

} // namespace shallotdrift
