#pragma once

#include "shallotdrift/Base.h"

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace shallotdrift::standin {

// Counts of one kind; each request is counted once, by its last answer.
struct KindCounts {
    uint64_t sent = 0;
    uint64_t inTime = 0;
    uint64_t late = 0;
    uint64_t failed = 0; // 2xx
    uint64_t unknown = 0; // 3xx or no answer
    uint64_t wrong = 0; // answers that are not whole or belong to another request
    std::map<unsigned, uint64_t> refused; // by code
    std::vector<Duration> times; // of successful answers

    void count(ResultCode, Duration elapsed, Milliseconds timeout);
};

// Counts by kind, printed as a table.
class LoadReport {
public:
    KindCounts& of(const std::string& kind) { return kinds_[kind]; }
    void print(std::ostream&) const;
    bool clean() const;

private:
    std::map<std::string, KindCounts> kinds_;
};

} // namespace shallotdrift::standin
