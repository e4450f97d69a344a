#pragma once

#include "shallotdrift/Base.h"

#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shallotdrift::standin {

struct Violation {
    std::string rule;
    std::string text;
};

// Compares the journals of targets and callers against the promises. Lines may be added in any order.
class JournalCheck {
public:
    explicit JournalCheck(Milliseconds leavingLimit);

    // Adds all lines of a journal. A last line without its end is ignored: its writer was stopped while writing.
    void add(std::istream&, const std::string& name);

    std::vector<Violation> violations() const;
    // Numbers of lines by event, for the reader of a report.
    const std::map<std::string, uint64_t>& counts() const { return counts_; }

private:
    struct Run {
        int64_t start = 0;
        std::string instance;
        std::string pool;
        std::string requestedPool;
        std::string requestId;
        std::string key;
    };
    struct Cut {
        int64_t time = 0;
        std::string instance;
        std::string requestId;
    };
    struct Answer {
        int64_t time = 0;
        std::string requestId;
        std::string key;
        unsigned code = 0;
        std::string execution;
        bool whole = false;
        bool belongs = false;
        bool lost = false; // no answer at all
    };
    struct Mark {
        int64_t time = 0;
        bool leaving = false;
    };

    using Rule = void (JournalCheck::*)(std::vector<Violation>&) const;
    static const std::vector<Rule>& rules();

    void addLine(const nlohmann::json&);
    void checkSomethingRan(std::vector<Violation>&) const;
    void checkKeysRanOnce(std::vector<Violation>&) const;
    void checkNotRunNeverRan(std::vector<Violation>&) const;
    void checkAnswersBelong(std::vector<Violation>&) const;
    void checkAnswersHaveRuns(std::vector<Violation>&) const;
    void checkPools(std::vector<Violation>&) const;
    void checkLeaving(std::vector<Violation>&) const;
    void checkCuts(std::vector<Violation>&) const;

    Milliseconds leavingLimit_;
    std::vector<Violation> unreadable_;
    std::map<std::string, uint64_t> counts_;
    std::vector<Run> runs_;
    std::vector<Run> ends_;
    std::vector<Cut> cuts_;
    std::vector<Answer> answers_;
    std::map<std::string, std::vector<Mark>> marks_; // by instance
};

} // namespace shallotdrift::standin
