#include "Section.h"

#include "shallotdrift/Settings.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <rapidcheck.h>
#include <sstream>

namespace shallotdrift {

using Parser = std::function<Result<void>(const std::string&)>;

// Generates texts from fragments of INI syntax, malformed sections and arbitrary bytes.
static rc::Gen<std::string> malformedText()
{
    static const std::vector<std::string> fragments { "[node]", "[planning]", "[operators", "[store]", "[handbook]",
        "[step 1]", "[step 99999999999999999999]", "[]", "[", "]", "=", "name", "count = 1",
        "count = 99999999999999999999", "margin = nan", "margin = 1e309", "first_internal_port = -0", "action = lend",
        "<<<END", "\"", ";", "#", "\n", "\r\n", "\r", "\t", " ", "\xEF\xBB\xBF", "\xC3\xA1", "\xED\xA0\x80", "\xFF",
        "address = [::1]:1", "address = [[::1]]:1", "zone = %s%n", std::string(1, '\0'), std::string(5000, 'x'),
        std::string(300, '[') };
    auto fragment = rc::gen::elementOf(fragments);
    auto bytes = rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    auto part = rc::gen::weightedOneOf<std::string>(
        { { 6, fragment }, { 3, rc::gen::just(std::string("\n")) }, { 1, bytes } });
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(part), [](const std::vector<std::string>& parts) {
        std::string text;
        for (const auto& item : parts)
            text += item;
        return text;
    });
}

// Checks that every line of the message names a line of the text, and that the message is bounded.
static void checkMessage(const std::string& message, const std::string& text)
{
    static constexpr size_t maximumMessageBytes = 200000;
    RC_ASSERT(!message.empty());
    RC_ASSERT(message.size() < maximumMessageBytes);
    auto lineCount = 1 + std::count(text.begin(), text.end(), '\n');
    std::istringstream lines(message);
    for (std::string line; std::getline(lines, line);) {
        RC_ASSERT(line.compare(0, 6, "h.ini:") == 0);
        size_t end = 0;
        auto number = std::stol(line.substr(6), &end);
        RC_ASSERT(number >= 1 && number <= lineCount);
        RC_ASSERT(line.at(6 + end) == ':');
        for (char c : line)
            RC_ASSERT(static_cast<unsigned char>(c) >= 0x20U);
    }
}

static void checkParser(const Parser& parser, const std::string& text)
{
    auto message = handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parser(text));
            return std::string("accepted");
        },
        [](const Error& error) { return error.message; });
    if (message != "accepted")
        checkMessage(message, text);
}

static const std::vector<Parser>& parsers()
{
    static const std::vector<Parser> all {
        [](const std::string& text) -> Result<void> {
            BOOST_LEAF_CHECK(parseNodeSettings(text, "h.ini"));
            return {};
        },
        [](const std::string& text) -> Result<void> {
            BOOST_LEAF_CHECK(parseHandbook(text, "h.ini"));
            return {};
        },
    };
    return all;
}

class SettingsFuzzTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsFuzzTest);
    CPPUNIT_TEST(everyErrorNamesALineOfTheFile);
    CPPUNIT_TEST(largeTextsAreParsedInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against parsers that crash on malformed input, and against errors whose line is not in the file.
    void everyErrorNamesALineOfTheFile()
    {
        bool passed = rc::check("every error names a line of the file", [] {
            auto text = *malformedText();
            for (const auto& parser : parsers())
                checkParser(parser, text);
        });
        CPPUNIT_ASSERT(passed);
    }

    // Guards against input of a permitted size that takes more than linear time or memory to parse.
    void largeTextsAreParsedInTime()
    {
        static constexpr size_t sizeLimit = 256 << 10;
        static constexpr std::chrono::seconds timeLimit { 5 };
        for (const std::string unit : { "a=\n", "[store]\n", "[x]\n", "=\n", "[node]\nname=", "[", "\n" }) {
            Section section("a text of repeated " + unit);
            std::string text = "[node]\n";
            while (text.size() + unit.size() <= sizeLimit)
                text += unit;
            auto begin = std::chrono::steady_clock::now();
            for (const auto& parser : parsers())
                checkParser(parser, text);
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < timeLimit);
        }
        Section manySections("a text of many different sections");
        std::string text;
        for (int i = 0; text.size() + 40 < sizeLimit; ++i)
            text += "[step " + std::to_string(i) + "]\naction = return\n";
        auto begin = std::chrono::steady_clock::now();
        for (const auto& parser : parsers())
            checkParser(parser, text);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < timeLimit);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFuzzTest);

} // namespace shallotdrift
