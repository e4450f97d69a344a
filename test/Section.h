#pragma once

#include <exception>
#include <string>
#include <vector>

namespace shallotdrift {

// Names a section of a test. Sections nest; when a check throws, the path of the open sections is kept for the report.
class Section {
public:
    explicit Section(std::string name)
        : exceptions_(std::uncaught_exceptions())
    {
        path().push_back(std::move(name));
    }

    Section(const Section&) = delete;
    Section& operator=(const Section&) = delete;

    ~Section()
    {
        if (std::uncaught_exceptions() > exceptions_ && failurePath().empty()) {
            for (const auto& name : path())
                failurePath() += (failurePath().empty() ? "" : " > ") + name;
        }
        path().pop_back();
    }

    static std::string& failurePath()
    {
        static std::string text;
        return text;
    }

    static void clearFailurePath() { failurePath().clear(); }

private:
    static std::vector<std::string>& path()
    {
        static std::vector<std::string> names;
        return names;
    }

    int exceptions_;
};

} // namespace shallotdrift
