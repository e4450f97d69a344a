#include "DeadlineQueue.h"

#include <algorithm>

namespace shallotdrift {

// The clock of the timer stops while the machine is suspended, but BootClock, in which the deadlines are given, does
// not. Therefore the timer waits at most this long before the deadlines are checked again.
static constexpr Milliseconds maximumTimerWait { 1000 };

DeadlineQueue::DeadlineQueue(asio::io_context& context)
    : timer_(context)
{
}

void DeadlineQueue::set(DeadlineHandler& item, Instant deadline)
{
    item.deadline_ = deadline;
    if (item.queued_) {
        if (item.position_->first <= deadline)
            return; // when the old position is due, fire() queues the object at its new deadline
        queue_.erase(item.position_);
    }
    item.position_ = queue_.emplace(deadline, &item);
    item.queued_ = true;
    if (deadline < armedFor_)
        arm();
}

void DeadlineQueue::remove(DeadlineHandler& item)
{
    item.deadline_ = DeadlineHandler::never;
    if (!item.queued_)
        return;
    queue_.erase(item.position_);
    item.queued_ = false;
}

void DeadlineQueue::arm()
{
    if (queue_.empty()) {
        armedFor_ = Instant::max();
        return;
    }
    auto now = BootClock::now();
    armedFor_ = std::min<Instant>(queue_.begin()->first, now + maximumTimerWait);
    timer_.expires_after(std::max(armedFor_ - now, Duration::zero()));
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            fire();
    });
}

void DeadlineQueue::fire()
{
    auto now = BootClock::now();
    while (!queue_.empty() && queue_.begin()->first <= now) {
        DeadlineHandler& item = *queue_.begin()->second;
        queue_.erase(queue_.begin());
        item.queued_ = false;
        if (item.deadline_ <= now) {
            item.deadline_ = DeadlineHandler::never;
            item.onDeadline();
        } else if (item.deadline_ != DeadlineHandler::never) {
            item.position_ = queue_.emplace(item.deadline_, &item);
            item.queued_ = true;
        }
    }
    arm();
}

} // namespace shallotdrift
