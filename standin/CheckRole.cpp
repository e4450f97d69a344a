#include "Roles.h"

#include "JournalCheck.h"

#include <boost/algorithm/string/split.hpp>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(check_journals, "", "journal files of targets, platform and callers, separated by commas");
DEFINE_uint32(check_leaving_ms, 5000, "time in ms after the mark during which a leaving instance may start work");
DEFINE_uint32(check_shown, 50, "number of violations that are printed");

namespace shallotdrift::standin {

int runCheckRole()
{
    JournalCheck check { Milliseconds(FLAGS_check_leaving_ms) };
    std::vector<std::string> files;
    boost::algorithm::split(files, FLAGS_check_journals, [](char c) { return c == ','; });
    for (const auto& name : files) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << "cannot read journal " << name << "\n";
            return 2;
        }
        check.add(file, name);
    }
    for (const auto& [event, count] : check.counts())
        std::cout << fmt::format("{:<12}{}\n", event, count);
    auto violations = check.violations();
    for (size_t i = 0; i < violations.size() && i < FLAGS_check_shown; ++i)
        std::cout << fmt::format("violation: {}: {}\n", violations[i].rule, violations[i].text);
    std::cout << fmt::format("{} violations\n", violations.size());
    return violations.empty() ? 0 : 1;
}

} // namespace shallotdrift::standin
