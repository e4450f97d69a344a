#include "AdmissionQueue.h"

#include <algorithm>

namespace shallotdrift::internal {

void AdmissionQueue::insert(WorkItem& item)
{
    items_.insert(&item);
    workSeconds_ += item.expectedSeconds;
}

void AdmissionQueue::remove(WorkItem& item)
{
    items_.erase(&item);
    // Sums of differences drift; an empty queue has no work.
    workSeconds_ = items_.empty() ? 0 : std::max(0.0, workSeconds_ - item.expectedSeconds);
}

double AdmissionQueue::workSecondsBefore(Instant deadline) const
{
    if (items_.empty())
        return 0;
    Instant first = (*items_.begin())->request.deadline;
    Instant last = (*items_.rbegin())->request.deadline;
    if (deadline >= last)
        return workSeconds_;
    if (deadline <= first)
        return 0;
    return workSeconds_
        * (std::chrono::duration<double>(deadline - first) / std::chrono::duration<double>(last - first));
}

Instant AdmissionQueue::oldestSubmission() const
{
    Instant oldest = Instant::max();
    for (const auto* item : items_)
        oldest = std::min(oldest, item->submittedAt);
    return oldest;
}

} // namespace shallotdrift::internal
