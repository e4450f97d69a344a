#include "Section.h"

#include "shallotdrift/Base.h"
#include "shallotdrift/Operators.h"
#include "shallotdrift/Settings.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <sstream>

namespace shallotdrift {

class DocumentsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DocumentsTest);
    CPPUNIT_TEST(configurationPageMatchesSettingsReference);
    CPPUNIT_TEST(resultCodePageMatchesResultCodeTable);
    CPPUNIT_TEST(operatorsGuideUsesExistingCommands);
    CPPUNIT_TEST_SUITE_END();

    static std::string read(const std::string& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    // Number of lines that start with the prefix.
    static size_t countLines(const std::string& text, const std::string& prefix)
    {
        std::istringstream lines(text);
        size_t count = 0;
        for (std::string line; std::getline(lines, line);)
            count += line.compare(0, prefix.size(), prefix) == 0 ? 1 : 0;
        return count;
    }

public:
    // Guards against a reference page that lacks a key, or states a range or default that differs from the parser's.
    void configurationPageMatchesSettingsReference()
    {
        const auto page = read("docs/configuration.md");
        const auto rows = settingsReference();
        size_t position = 0;
        std::string previous;
        for (const auto& row : rows) {
            Section section(row.file + " " + row.section + " " + row.key);
            if (row.file + row.section != previous) {
                previous = row.file + row.section;
                position = page.find("\n### `" + row.section + "`\n", position);
                CPPUNIT_ASSERT(position != std::string::npos);
            }
            auto line = fmt::format(
                "\n| `{}` | {} | {} | {} |\n", row.key, row.allowedValues, row.defaultValue, row.description);
            auto found = page.find(line, position);
            CPPUNIT_ASSERT_MESSAGE(line, found != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(line, page.find("\n### ", position + 1) > found);
        }
        CPPUNIT_ASSERT_EQUAL(rows.size(), countLines(page, "| `"));
    }

    // Guards against a result code that the page does not list or explains differently.
    void resultCodePageMatchesResultCodeTable()
    {
        const auto page = read("docs/result-codes.md");
        std::string table = "| code | name | meaning |\n|---|---|---|\n";
        for (const auto& info : resultCodeTable())
            table += fmt::format("| {} | `{}` | {} |\n", static_cast<unsigned>(info.code), info.name, info.description);
        CPPUNIT_ASSERT(page.size() >= table.size());
        CPPUNIT_ASSERT_EQUAL(table, page.substr(page.size() - table.size()));
    }

    // Guards against a guide whose examples use a renamed or removed command or option.
    void operatorsGuideUsesExistingCommands()
    {
        const auto help = operatorCommandHelp();
        std::istringstream lines(read("docs/operators-guide.md"));
        static const std::string prefix = "    shallotdrift ";
        size_t commandCount = 0;
        for (std::string line; std::getline(lines, line);) {
            if (line.compare(0, prefix.size(), prefix) != 0)
                continue;
            Section section(line);
            ++commandCount;
            std::istringstream words(line.substr(prefix.size()));
            std::string command;
            std::string subcommand;
            words >> command >> subcommand;
            if (!isOperatorCommand(command)) {
                CPPUNIT_ASSERT(
                    command == "check-config" || command == "codes" || command == "help" || command == "node");
                continue;
            }
            bool hasNoSubcommand = help.find("  " + command + "\n") != std::string::npos
                || help.find("  " + command + " -") != std::string::npos
                || help.find("  " + command + " [-") != std::string::npos || command == "explain";
            CPPUNIT_ASSERT(
                hasNoSubcommand || help.find(fmt::format("  {} {}", command, subcommand)) != std::string::npos);
            for (std::string word = subcommand; !word.empty(); word.clear(), words >> word) {
                if (word.compare(0, 2, "--") == 0 && word.find("--change_id") != 0 && word.find("--entries") != 0)
                    CPPUNIT_ASSERT_MESSAGE(word, help.find(word.substr(0, word.find('=') + 1)) != std::string::npos);
            }
        }
        CPPUNIT_ASSERT(commandCount >= 15);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentsTest);

} // namespace shallotdrift
