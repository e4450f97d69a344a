#include "Section.h"

#include "shallotdrift/Settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace shallotdrift {

// Error message of the parser; empty when it accepts the text.
template <typename Parser> static std::string messageOf(Parser&& parser, std::string_view text)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parser(text, "f.ini"));
            return std::string();
        },
        [](const Error& error) { return error.message; });
}

static void assertError(const std::string& message, const std::string& expected)
{
    CPPUNIT_ASSERT_MESSAGE(
        "expected: " + expected + "\nread: " + message, ("\n" + message).find("\n" + expected) != std::string::npos);
}

static const std::string validSettings = "[node]\n"
                                         "name = e1\n"
                                         "zone = za\n"
                                         "ip = 127.0.0.1\n"
                                         "caller_address = 127.0.0.1:7000\n"
                                         "ready_address = [::1]:7001\n"
                                         "first_internal_port = 7002\n"
                                         "[store]\n"
                                         "address = 127.0.0.1:8080\n";

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(valuesAndDefaultsReachTheirMembers);
    CPPUNIT_TEST(allErrorsAreReportedTogether);
    CPPUNIT_TEST(malformedLinesAreReported);
    CPPUNIT_TEST(invalidBytesAreRejected);
    CPPUNIT_TEST(smallInstancesAreBelowOwnershipMinimum);
    CPPUNIT_TEST(samplesAreValid);
    CPPUNIT_TEST(checkConfigReportsUnreadableFilesAndUsageErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against keys that are stored in the wrong member, and against a parser that overwrites the defaults of
    // absent keys.
    void valuesAndDefaultsReachTheirMembers()
    {
        auto settings = parseNodeSettings(validSettings + "membership_ms = 1234\n[planning]\nmargin = 1.25\n", "f.ini");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), settings->name);
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:7001"), settings->readyAddress);
        CPPUNIT_ASSERT(settings->membershipTimeout == Milliseconds(1234));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.25, settings->demandMargin, 1e-12);
        CPPUNIT_ASSERT(settings->maximumLease == NodeSettings().maximumLease);
        CPPUNIT_ASSERT_EQUAL(NodeSettings().reserveCores, settings->reserveCores);
        CPPUNIT_ASSERT(settings->operatorsServed && settings->operatorAddress.empty());
    }

    // Guards against a parser that stops at the first error, so that a file needs one run for each error.
    void allErrorsAreReportedTogether()
    {
        auto message = messageOf(parseNodeSettings,
            "[node]\nname = e 1\nzone =\ncaller_address = localhost:7000\nready_address = 10.0.0.1:99999\n"
            "first_internal_port = 0\nip = 10.0.0.1\ncolour = red\n"
            "[planning]\nmargin = 100\nneed_memory_ms = 4x\n[operators]\nkey_file = k.pem\n[odd]\na = 1\n");
        assertError(message, "f.ini:2: [node] name = e 1: expected a name");
        assertError(message, "f.ini:3: [node] zone = (empty): expected a name");
        assertError(message, "f.ini:4: [node] caller_address = localhost:7000: expected an IP address and port");
        assertError(message, "f.ini:5: [node] ready_address = 10.0.0.1:99999: expected an IP address and port");
        assertError(message, "f.ini:6: [node] first_internal_port = 0: expected a whole number from 1 to 65533");
        assertError(message, "f.ini:8: [node] colour = red: unknown key; known keys are name, zone");
        assertError(message, "f.ini:10: [planning] margin = 100: expected a number from 0.1 to 10");
        assertError(message, "f.ini:11: [planning] need_memory_ms = 4x: expected a whole number");
        assertError(message,
            "f.ini:12: [operators]: certificate_file, key_file and client_authority_file must be given together");
        assertError(message, "f.ini:14: [odd]: unknown section");
        assertError(message, "f.ini:16: [store]: the section is missing");
        Section loopback("an operator listener without TLS is rejected unless its address is a loopback address");
        assertError(messageOf(parseNodeSettings, validSettings + "[operators]\naddress = 10.0.0.1:7009\n"),
            "f.ini:11: [operators] address = 10.0.0.1:7009: without TLS files, the address must be a loopback address");
        assertError(messageOf(parseNodeSettings, validSettings + "[operators]\naddress = 127.0.0.1:7000\n"),
            "f.ini:11: [operators] address = 127.0.0.1:7000: the address is already used by another listener");
    }

    // Guards against malformed lines and duplicates, which SimpleIni skips or merges without an error.
    void malformedLinesAreReported()
    {
        auto message = messageOf(parseNodeSettings,
            "early = 1\n" + validSettings + "[planning\nmargin 5\n= 7\n[] \n[advice] x\n[node]\nname = e2\n");
        assertError(message, "f.ini:1: early = 1: a key must follow a section header");
        assertError(message, "f.ini:11: [planning: a section header must be [name]");
        assertError(message, "f.ini:12: margin 5: a key must be written as key = value");
        assertError(message, "f.ini:13: = 7: a key must be written as key = value");
        assertError(message, "f.ini:14: []: a section header must be [name]");
        assertError(message, "f.ini:15: [advice] x: a section header must be [name]");
        assertError(message, "f.ini:16: [node]: duplicate section; it first appears on line 2");
        assertError(message, "f.ini:17: [node] name = e2: duplicate key; it first appears on line 3");
    }

    // Guards against texts that are truncated at a NUL byte, and against bytes that a terminal or log cannot display.
    void invalidBytesAreRejected()
    {
        using namespace std::string_literals;
        assertError(messageOf(parseNodeSettings, validSettings + "a = \0b\n"s), "f.ini:10: this line: NUL bytes");
        assertError(messageOf(parseNodeSettings, validSettings + "a = \x1b[2J\n"), "f.ini:10: this line: control");
        for (const char* invalidUtf8 :
            { "\xff", "\xc0\x80", "\xe0\x80\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82" })
            assertError(messageOf(parseNodeSettings, validSettings + invalidUtf8),
                "f.ini:10: this line: the text must be valid UTF-8");
        assertError(messageOf(parseNodeSettings, std::string((256 << 10) + 1, ';')),
            "f.ini:1: the text has 262145 bytes: at most 262144 bytes are allowed");
        Section accepted("a byte order mark, CR LF line ends and UTF-8 comments are accepted");
        std::string text = "\xEF\xBB\xBF; \xC3\xB1\r\n" + validSettings;
        CPPUNIT_ASSERT_EQUAL(std::string(), messageOf(parseNodeSettings, text));
    }

    // Guards against partition owners whose CPU or link is too small for a load peak, and against excluding instances
    // whose resources are unknown.
    void smallInstancesAreBelowOwnershipMinimum()
    {
        auto belowMinimum = [](const std::string& text) {
            auto settings = parseNodeSettings(validSettings + text, "f.ini");
            CPPUNIT_ASSERT(settings.has_value());
            return settings->belowOwnershipMinimum();
        };
        CPPUNIT_ASSERT(!belowMinimum(""));
        CPPUNIT_ASSERT(!belowMinimum("[machine]\ncpu_share = 0.25\nlink_mbps = 1000\n"));
        CPPUNIT_ASSERT(belowMinimum("[machine]\ncpu_share = 0.12\nlink_mbps = 1000\n"));
        CPPUNIT_ASSERT(belowMinimum("[machine]\nlink_mbps = 10\n"));
        CPPUNIT_ASSERT(!belowMinimum("[machine]\nlink_mbps = 10\n[ownership]\nleast_link_mbps = 5\n"));
    }

    // Guards against samples that no longer match the schemas.
    void samplesAreValid()
    {
        std::vector<std::string> words;
        for (const auto& file : std::filesystem::recursive_directory_iterator("samples"))
            if (file.path().extension() == ".ini")
                words.push_back(file.path().string());
        CPPUNIT_ASSERT(words.size() >= 10);
        std::ostringstream output;
        std::ostringstream errors;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(errors.str(), 0U, runCheckConfigCommand(words, output, errors));
    }

    // Guards against a check-config that succeeds although a file is unreadable or an argument is unknown.
    void checkConfigReportsUnreadableFilesAndUsageErrors()
    {
        std::ostringstream output;
        std::ostringstream errors;
        CPPUNIT_ASSERT_EQUAL(503U, runCheckConfigCommand({ "check-config" }, output, errors));
        CPPUNIT_ASSERT_EQUAL(503U, runCheckConfigCommand({ "--colour=red" }, output, errors));
        CPPUNIT_ASSERT_EQUAL(501U, runCheckConfigCommand({ "samples/absent.ini" }, output, errors));
        assertError(errors.str(), "samples/absent.ini:1: the file cannot be read");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace shallotdrift
