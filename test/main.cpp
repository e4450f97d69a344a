#include "Section.h"

#include <algorithm>
#include <cppunit/Exception.h>
#include <cppunit/Message.h>
#include <cppunit/SourceLine.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace {

// Returns the names of the tests that the file lists as known failures, each on a line "test: NAME".
std::set<std::string> readKnownFailures(const char* path)
{
    static const std::string prefix = "test: ";
    std::set<std::string> names;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        if (line.compare(0, prefix.size(), prefix) == 0)
            names.insert(line.substr(prefix.size()));
    }
    return names;
}

// Prints the result of each test that has ended, and counts passes, failures and known failures (printed as skipped).
class Reporter : public CppUnit::TestListener {
public:
    explicit Reporter(std::set<std::string> knownFailures)
        : knownFailures_(std::move(knownFailures))
    {
    }

    void startTest(CppUnit::Test*) override
    {
        failed_ = false;
        shallotdrift::Section::clearFailurePath();
    }

    void addFailure(const CppUnit::TestFailure& failure) override
    {
        failed_ = true;
        std::cout << "FAILED " << failure.failedTestName() << "\n  " << shallotdrift::Section::failurePath() << "\n  "
                  << failure.sourceLine().fileName() << ":" << failure.sourceLine().lineNumber() << " "
                  << failure.thrownException()->message().details() << "\n";
    }

    void endTest(CppUnit::Test* test) override
    {
        bool known = knownFailures_.count(test->getName()) > 0;
        if (!failed_) {
            ++passed_;
            std::cout << (known ? "passed although listed in KNOWN-RED.txt: " : "passed ") << test->getName()
                      << std::endl;
        } else if (known) {
            ++skipped_;
            std::cout << "known failure " << test->getName() << std::endl;
        } else {
            ++failures_;
        }
    }

    int finish() const
    {
        std::cout << passed_ << " passed, " << failures_ << " failed";
        if (skipped_)
            std::cout << ", " << skipped_ << " skipped";
        std::cout << std::endl;
        return failures_ || !passed_ ? EXIT_FAILURE : EXIT_SUCCESS;
    }

private:
    std::set<std::string> knownFailures_;
    bool failed_ = false;
    int passed_ = 0;
    int failures_ = 0;
    int skipped_ = 0;
};

void collect(CppUnit::Test* test, const std::string& filter, std::vector<CppUnit::Test*>& selected)
{
    if (test->getChildTestCount() == 0) {
        if (filter.empty() || test->getName().find(filter) != std::string::npos)
            selected.push_back(test);
        return;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i)
        collect(test->getChildTestAt(i), filter, selected);
}

} // namespace

// Usage: shallotdrift-tests [SUBSTRING]. Runs the tests whose names contain SUBSTRING; without an argument, all tests.
// Reads the known failures from KNOWN-RED.txt in the working directory.
int main(int argc, char** argv)
{
    std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::vector<CppUnit::Test*> selected;
    collect(all.get(), argc > 1 ? argv[1] : "", selected);
    CppUnit::TestResult result;
    Reporter reporter(readKnownFailures("KNOWN-RED.txt"));
    result.addListener(&reporter);
    for (CppUnit::Test* test : selected)
        test->run(&result);
    return reporter.finish();
}
