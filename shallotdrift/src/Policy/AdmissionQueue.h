#pragma once

#include "WorkItem.h"

#include <set>

namespace shallotdrift::internal {

// Waiting requests of one kind, in the order in which they are served.
class AdmissionQueue {
public:
    using Earlier = bool (*)(const WorkItem&, const WorkItem&);

    explicit AdmissionQueue(Earlier earlier)
        : items_(Comparator { earlier })
    {
    }

    void insert(WorkItem&);
    void remove(WorkItem&);
    WorkItem* first() const { return items_.empty() ? nullptr : *items_.begin(); }

    bool empty() const { return items_.empty(); }
    size_t size() const { return items_.size(); }
    // Run time of all waiting requests.
    double workSeconds() const { return workSeconds_; }
    // Part of the waiting work that is due before the deadline, taken as evenly spread between first and last.
    double workSecondsBefore(Instant deadline) const;
    Instant oldestSubmission() const;

    template <typename Function> void forEach(Function&& function) const
    {
        for (const auto* item : items_)
            function(*item);
    }

private:
    struct Comparator {
        Earlier earlier;
        bool operator()(const WorkItem* a, const WorkItem* b) const { return earlier(*a, *b); }
    };

    std::set<WorkItem*, Comparator> items_;
    double workSeconds_ = 0;
};

} // namespace shallotdrift::internal
