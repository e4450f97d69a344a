#include "Story.h"

#include "shallotdrift/Settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace shallotdrift {

// The error's message, or an empty text when the parser accepts the text.
template <typename Parser> static std::string messageOf(Parser&& parser, std::string_view text)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parser(text, "f.ini"));
            return std::string();
        },
        [](const Error& error) { return error.message; });
}

static void assertMistake(const std::string& message, const std::string& expected)
{
    CPPUNIT_ASSERT_MESSAGE(
        "expected: " + expected + "\nread: " + message, ("\n" + message).find("\n" + expected) != std::string::npos);
}

static const std::string validEntry = "[entry]\n"
                                      "id = e1\n"
                                      "zone = za\n"
                                      "caller_address = 127.0.0.1:7000\n"
                                      "peer_address = 127.0.0.1:7001\n"
                                      "operator_address = 127.0.0.1:7002\n"
                                      "metrics_address = [::1]:7003\n"
                                      "[platform]\n"
                                      "address = 127.0.0.1:8080\n";

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(entrySettingsTakeEveryKeyAndDefault);
    CPPUNIT_TEST(entryMistakesAreReportedTogether);
    CPPUNIT_TEST(malformedTextIsReportedByLine);
    CPPUNIT_TEST(hostileBytesAreRefused);
    CPPUNIT_TEST(configurationIsReadWhole);
    CPPUNIT_TEST(configurationMistakesAreReportedTogether);
    CPPUNIT_TEST(samplesAreValid);
    CPPUNIT_TEST(checkConfigReportsFilesAndCommandMistakes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against keys that are read into the wrong member and defaults that the parser overwrites.
    void entrySettingsTakeEveryKeyAndDefault()
    {
        auto settings
            = parseEntrySettings(validEntry + "call_timeout_ms = 1234\n[peers]\ne2 = 10.0.0.2:7001\n", "f.ini");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), settings->id);
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:7003"), settings->metricsAddress);
        CPPUNIT_ASSERT(settings->platformCallTimeout == Milliseconds(1234));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7001"), settings->peers.at("e2"));
        CPPUNIT_ASSERT(settings->viewLease == EntrySettings().viewLease);
        CPPUNIT_ASSERT_EQUAL(EntrySettings().maximumBodyBytes, settings->maximumBodyBytes);
    }

    // Guards against a parser that stops at the first mistake, so that an operator repairs a file run by run.
    void entryMistakesAreReportedTogether()
    {
        auto message = messageOf(parseEntrySettings,
            "[entry]\nid = e 1\nzone =\ncaller_address = localhost:7000\npeer_address = 10.0.0.1:99999\n"
            "operator_address = 10.0.0.1:7002\nmetrics_address = 10.0.0.1:7002\ncolour = red\n"
            "[timing]\nview_lease_ms = 10\nbatch_interval_ms = 4x\n[operators]\nkey_file = k.pem\n[odd]\na = 1\n");
        assertMistake(message, "f.ini:2: [entry] id = e 1: allowed is a name");
        assertMistake(message, "f.ini:3: [entry] zone = (empty): allowed is a name");
        assertMistake(message, "f.ini:4: [entry] caller_address = localhost:7000: allowed is an IP address and port");
        assertMistake(message, "f.ini:5: [entry] peer_address = 10.0.0.1:99999: allowed is an IP address and port");
        assertMistake(message,
            "f.ini:7: [entry] metrics_address = 10.0.0.1:7002: the address is already that of "
            "operator_address");
        assertMistake(message, "f.ini:8: [entry] colour = red: unknown key; known keys are id, zone");
        assertMistake(message, "f.ini:10: [timing] view_lease_ms = 10: allowed is a whole number from 500 to 60000 ms");
        assertMistake(message, "f.ini:11: [timing] batch_interval_ms = 4x: allowed is a whole number");
        assertMistake(message, "f.ini:12: [operators]: certificate_file, key_file and client_authority_file are given");
        assertMistake(message, "f.ini:14: [odd]: unknown section");
        assertMistake(message, "f.ini:16: [platform]: the section is missing");
        Section loopback("an operator listener without TLS is refused on other than loopback addresses");
        auto open = validEntry;
        open.replace(open.find("127.0.0.1:7002"), 14, "10.0.0.1:7002");
        assertMistake(messageOf(parseEntrySettings, open),
            "f.ini:6: [entry] operator_address = 10.0.0.1:7002: without TLS files in [operators] a loopback address");
    }

    // Guards against lines that SimpleIni skips or merges without an error.
    void malformedTextIsReportedByLine()
    {
        auto message = messageOf(parseEntrySettings,
            "early = 1\n" + validEntry + "[limits\nmaximum_body_bytes 5\n= 7\n[] \n[timing] x\n[entry]\nid = e2\n");
        assertMistake(message, "f.ini:1: early = 1: a setting has to follow the line of its section");
        assertMistake(message, "f.ini:11: [limits: a section is written as [name]");
        assertMistake(message, "f.ini:12: maximum_body_bytes 5: a setting is written as key = value");
        assertMistake(message, "f.ini:13: = 7: a setting is written as key = value");
        assertMistake(message, "f.ini:14: []: a section is written as [name]");
        assertMistake(message, "f.ini:15: [timing] x: a section is written as [name]");
        assertMistake(message, "f.ini:16: [entry]: a section may appear once; it is already on line 2");
        assertMistake(
            message, "f.ini:17: [entry] id = e2: a key may appear once in a section; it is already on line 3");
    }

    // Guards against texts that are cut at a NUL byte, or that a terminal or a log cannot show.
    void hostileBytesAreRefused()
    {
        using namespace std::string_literals;
        assertMistake(messageOf(parseEntrySettings, validEntry + "a = \0b\n"s), "f.ini:10: this line: NUL bytes");
        assertMistake(messageOf(parseEntrySettings, validEntry + "a = \x1b[2J\n"), "f.ini:10: this line: control");
        for (const char* broken :
            { "\xff", "\xc0\x80", "\xe0\x80\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82" })
            assertMistake(
                messageOf(parseEntrySettings, validEntry + broken), "f.ini:10: this line: the text has to be UTF-8");
        assertMistake(messageOf(parseEntrySettings, std::string((256 << 10) + 1, ';')),
            "f.ini:1: the text has 262145 bytes: at most 262144 bytes are allowed");
        Section accepted("a byte order mark, CR LF line ends and UTF-8 comments are accepted");
        std::string text = "\xEF\xBB\xBF; \xC3\xB1\r\n" + validEntry;
        CPPUNIT_ASSERT_EQUAL(std::string(), messageOf(parseEntrySettings, text));
    }

    // Guards against shares, units and flags of the configuration that change on the way into the structures.
    void configurationIsReadWhole()
    {
        auto configuration = parseFleetConfiguration(
            "[zone za]\nregion = r\n[pool a]\nminimum_available = 3\nspare = yes\nborrows = no\n"
            "[kind k]\npool = a\nurgency = bulk\nguaranteed_share = 0.25\nidempotent = no\n"
            "[team t]\nslot_quota = 7\n[lending]\nenabled = no\n[limits]\nkey_window_s = 600\n",
            "f.ini");
        CPPUNIT_ASSERT(configuration.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("r"), configuration->zones.at("za").region);
        const auto& pool = configuration->pools.at("a");
        CPPUNIT_ASSERT(pool.minimumAvailable == 3 && pool.spare && pool.lends && !pool.borrows);
        const auto& kind = configuration->kinds.at("k");
        CPPUNIT_ASSERT(kind.urgency == Urgency::Bulk && !kind.idempotent && kind.name == "k");
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, kind.guaranteedShare, 1e-12);
        CPPUNIT_ASSERT_EQUAL(7U, configuration->teams.at("t").slotQuota);
        CPPUNIT_ASSERT(!configuration->lending.enabled);
        CPPUNIT_ASSERT(configuration->keyWindow == std::chrono::minutes(10));
    }

    // Guards against a configuration that contradicts itself coming into force.
    void configurationMistakesAreReportedTogether()
    {
        auto message = messageOf(parseFleetConfiguration,
            "[pool a]\nminimum_available = -1\n[pool b]\nminimum_available = 1\nspare = yes\nlends = no\n"
            "[kind k]\npool = c\nguaranteed_share = 1.5\n[kind l]\npool = b\nguaranteed_share = 0.7\n"
            "default_timeout_ms = 40000\n[kind m]\npool = b\nguaranteed_share = 0.4\nlong_running = yes\nidempotent = "
            "no\n"
            "[pool]\nminimum_available = 1\n[pool x/y]\nminimum_available = 1\n[team t]\n[poolside]\n");
        assertMistake(message, "f.ini:2: [pool a] minimum_available = -1: allowed is a whole number from 0 to 100000");
        assertMistake(message, "f.ini:3: [pool b]: guaranteed_share sums to 1.1 over the pool's kinds");
        assertMistake(message, "f.ini:6: [pool b] lends = no: a spare pool has to lend");
        assertMistake(message, "f.ini:8: [kind k] pool = c: no section [pool c] exists");
        assertMistake(message, "f.ini:9: [kind k] guaranteed_share = 1.5: allowed is a number from 0 to 1");
        assertMistake(
            message, "f.ini:13: [kind l] default_timeout_ms = 40000: maximum_timeout_ms allows at most 30000");
        assertMistake(message, "f.ini:18: [kind m] idempotent = no: long-running work has to be idempotent");
        assertMistake(message, "f.ini:19: [pool]: the section is written as [pool NAME]");
        assertMistake(message, "f.ini:21: [pool x/y]: the section is written as [pool NAME]");
        assertMistake(message, "f.ini:23: [team t] slot_quota is missing: required is a whole number");
        assertMistake(message, "f.ini:24: [poolside]: unknown section");
        Section empty("an empty text is no configuration");
        assertMistake(messageOf(parseFleetConfiguration, ""), "f.ini:1: [pool NAME]: at least one pool is required");
    }

    // Guards against samples that fall behind the tables, and handbooks that name pools or zones of another fleet.
    void samplesAreValid()
    {
        for (const auto& deployment : std::filesystem::directory_iterator("samples")) {
            if (!deployment.is_directory() || !std::filesystem::exists(deployment.path() / "fleet.ini"))
                continue;
            Section section(deployment.path().string());
            std::vector<std::string> words { (deployment.path() / "entry.ini").string(),
                (deployment.path() / "fleet.ini").string() };
            for (const auto& file : std::filesystem::directory_iterator(deployment)) {
                if (file.path().filename().string().rfind("handbook-", 0) == 0)
                    words.push_back(file.path().string());
            }
            CPPUNIT_ASSERT(words.size() >= 5);
            std::ostringstream output;
            std::ostringstream errors;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(errors.str(), 0U, runCheckConfigCommand(words, output, errors));
        }
    }

    // Guards against a check that passes over a file or hides that it did not understand a word.
    void checkConfigReportsFilesAndCommandMistakes()
    {
        std::ostringstream output;
        std::ostringstream errors;
        CPPUNIT_ASSERT_EQUAL(503U, runCheckConfigCommand({ "check-config" }, output, errors));
        CPPUNIT_ASSERT_EQUAL(503U, runCheckConfigCommand({ "--colour=red" }, output, errors));
        CPPUNIT_ASSERT_EQUAL(501U, runCheckConfigCommand({ "samples/absent.ini" }, output, errors));
        assertMistake(errors.str(), "samples/absent.ini:1: the file cannot be read");
        Section other("a handbook entry for another fleet is reported");
        CPPUNIT_ASSERT_EQUAL(502U,
            runCheckConfigCommand(
                { "samples/karoo/handbook-drain-zone.ini", "samples/chamber/fleet.ini" }, output, errors));
        assertMistake(errors.str(), "samples/karoo/handbook-drain-zone.ini:1: [step 1] names zone jb-1");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace shallotdrift
