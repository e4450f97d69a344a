#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace shallotdrift::internal {

// Bounds how many ended objects a map keeps. Objects are forgotten in the order of a mark that is part of their state,
// so that the order can be rebuilt from a snapshot.
template <size_t limit> class EndedHistory {
public:
    void note(int64_t mark, const std::string& id) { order_.emplace(mark, id); }
    void note(uint64_t mark, const std::string& id) { note(static_cast<int64_t>(mark), id); }

    // Notes an object that has ended and forgets the oldest beyond the limit.
    template <typename Mark, typename Map> void add(Mark mark, const std::string& id, Map& objects)
    {
        note(mark, id);
        while (order_.size() > limit) {
            objects.erase(order_.begin()->second);
            order_.erase(order_.begin());
        }
    }

    size_t size() const { return order_.size(); }

private:
    std::set<std::pair<int64_t, std::string>> order_;
};

} // namespace shallotdrift::internal
