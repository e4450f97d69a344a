#include "PlatformLog.h"

#include <algorithm>

namespace shallotdrift::standin {

PlatformLog::PlatformLog(PlatformLogOptions options)
    : options_(options)
{
}

std::optional<Offset> PlatformLog::append(std::string payload, Instant now, int copies)
{
    Offset offset = 0;
    {
        std::lock_guard lock(mutex_);
        while (!recentAppends_.empty() && now - recentAppends_.front() >= std::chrono::seconds(1))
            recentAppends_.pop_front();
        if (recentAppends_.size() >= options_.appendsPerSecond)
            return std::nullopt;
        recentAppends_.push_back(now);
        offset = nextLocked();
        for (int copy = 1; copy < copies; ++copy) {
            bytes_ += payload.size();
            entries_.push_back({ now, payload });
        }
        bytes_ += payload.size();
        entries_.push_back({ now, std::move(payload) });
        expire(now);
    }
    changed_.notify_all();
    return offset;
}

void PlatformLog::expire(Instant now)
{
    while (!entries_.empty()
        && (entries_.size() > options_.retentionEntries || bytes_ > options_.retentionBytes
            || now - entries_.front().at > options_.retention)) {
        bytes_ -= entries_.front().payload.size();
        entries_.pop_front();
        ++earliest_;
    }
}

LogPage PlatformLog::read(Offset from, size_t maximumItems, Milliseconds wait)
{
    std::unique_lock lock(mutex_);
    expire(BootClock::now());
    auto wakes = wakes_;
    changed_.wait_for(lock, wait, [&] { return nextLocked() > from || earliest_ > from || wakes_ != wakes; });
    return pageLocked(from, maximumItems);
}

LogPage PlatformLog::pageLocked(Offset from, size_t maximumItems) const
{
    LogPage page;
    page.earliest = earliest_;
    page.next = nextLocked();
    size_t pageBytes = 0;
    for (auto offset = std::max(from, earliest_); offset < page.next && page.items.size() < maximumItems; ++offset) {
        const auto& payload = entries_[offset - earliest_].payload;
        pageBytes += payload.size();
        if (pageBytes > options_.pageBytes && !page.items.empty())
            break;
        page.items.push_back({ offset, payload });
    }
    return page;
}

void PlatformLog::wakeReaders()
{
    {
        std::lock_guard lock(mutex_);
        ++wakes_;
    }
    changed_.notify_all();
}

Offset PlatformLog::earliest() const
{
    std::lock_guard lock(mutex_);
    return earliest_;
}

Offset PlatformLog::next() const
{
    std::lock_guard lock(mutex_);
    return nextLocked();
}

} // namespace shallotdrift::standin
