#include "UsageWindow.h"

#include <algorithm>

namespace shallotdrift::internal {

static double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

void UsageWindow::advance(Instant now)
{
    if (now <= advancedTo_)
        return;
    int64_t target = now.time_since_epoch() / bucketLength;
    if (target - bucket_ > static_cast<int64_t>(bucketCount)) {
        slotSeconds_.fill(current_ * secondsOf(bucketLength));
        bucket_ = target;
        advancedTo_ = Instant { bucketLength * target };
        slotSeconds_[static_cast<size_t>(bucket_) % bucketCount] = 0;
    }
    while (bucket_ < target) {
        Instant end { bucketLength * (bucket_ + 1) };
        slotSeconds_[static_cast<size_t>(bucket_) % bucketCount] += current_ * secondsOf(end - advancedTo_);
        advancedTo_ = end;
        ++bucket_;
        slotSeconds_[static_cast<size_t>(bucket_) % bucketCount] = 0;
    }
    slotSeconds_[static_cast<size_t>(bucket_) % bucketCount] += current_ * secondsOf(now - advancedTo_);
    advancedTo_ = now;
}

void UsageWindow::set(uint32_t inUse, Instant now)
{
    advance(now);
    current_ = inUse;
}

double UsageWindow::average(Instant now)
{
    advance(now);
    double sum = 0;
    for (double value : slotSeconds_)
        sum += value;
    Duration inLastBucket = advancedTo_ - Instant { bucketLength * bucket_ };
    return sum / secondsOf(bucketLength * (bucketCount - 1) + std::max(inLastBucket, Duration { 1 }));
}

} // namespace shallotdrift::internal
