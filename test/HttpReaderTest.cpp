#include "Section.h"

#include "shallotdrift/Http.h"

#include <cppunit/extensions/HelperMacros.h>

namespace shallotdrift {

namespace {

    constexpr char post[] = "POST /p HTTP/1.1\r\nHost: h\r\n";
    constexpr HttpLimits limits { 4096, 4096, 8 };

    // Feeds the text, and goes on after each head.
    HttpReader::State feedAll(HttpReader& reader, std::string_view text)
    {
        while (!text.empty()) {
            auto used = reader.feed(text);
            text.remove_prefix(used);
            if (reader.state() == HttpReader::State::Head)
                reader.resume();
            else if (used == 0 || reader.state() != HttpReader::State::Reading)
                break;
        }
        return reader.state();
    }

} // namespace

class HttpReaderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpReaderTest);
    CPPUNIT_TEST(headsAreSeenBeforeTheirBodies);
    CPPUNIT_TEST(fieldsAreLimitedInNumber);
    CPPUNIT_TEST(memoryIsAnnounced);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a body that is kept although the head shows that it is not wanted.
    void headsAreSeenBeforeTheirBodies()
    {
        HttpReader reader(HttpReader::Type::Request, limits);
        reader.stopAfterHead();
        const std::string text = std::string(post) + "Content-Length: 4\r\n\r\nbody";
        {
            Section section("nothing of the body has been read");
            auto used = reader.feed(text);
            CPPUNIT_ASSERT(reader.state() == HttpReader::State::Head);
            CPPUNIT_ASSERT_EQUAL(std::string("POST"), reader.message().method);
            CPPUNIT_ASSERT(used <= text.size() - 4);
            CPPUNIT_ASSERT_EQUAL(size_t { 0 }, reader.feed("body"));
            {
                Section nested("and is read after it");
                reader.resume();
                CPPUNIT_ASSERT_EQUAL(text.size() - used, reader.feed(std::string_view(text).substr(used)));
                CPPUNIT_ASSERT(reader.state() == HttpReader::State::Complete);
                CPPUNIT_ASSERT_EQUAL(std::string("body"), reader.takeMessage().body);
            }
        }
        {
            Section section("a dropped body is read to its end, and its size is limited all the same");
            reader.feed(text);
            reader.dropBody();
            reader.resume();
            CPPUNIT_ASSERT(feedAll(reader, "\nbody") == HttpReader::State::Complete);
            CPPUNIT_ASSERT(reader.takeMessage().body.empty());
            {
                Section nested("the next one is kept");
                CPPUNIT_ASSERT(feedAll(reader, text) == HttpReader::State::Complete);
                CPPUNIT_ASSERT_EQUAL(std::string("body"), reader.takeMessage().body);
            }
            reader.feed(std::string(post) + "Transfer-Encoding: chunked\r\n\r\n");
            reader.dropBody();
            reader.resume();
            auto chunk = "800\r\n" + std::string(2048, 'x') + "\r\n";
            CPPUNIT_ASSERT(feedAll(reader, "\n" + chunk + chunk) == HttpReader::State::Reading);
            CPPUNIT_ASSERT(feedAll(reader, chunk) == HttpReader::State::Failed);
            CPPUNIT_ASSERT(reader.failure() == HttpReader::Failure::BodyTooLarge);
        }
    }

    // Guards against heads of legal size whose fields take many times their memory.
    void fieldsAreLimitedInNumber()
    {
        auto withFields = [](size_t count) {
            std::string text = "GET / HTTP/1.1\r\n";
            for (size_t i = 0; i < count; ++i)
                text += "a:\r\n";
            return text + "\r\n";
        };
        HttpReader reader(HttpReader::Type::Request, limits);
        CPPUNIT_ASSERT(feedAll(reader, withFields(limits.maximumHeaderFields)) == HttpReader::State::Complete);
        reader.takeMessage();
        CPPUNIT_ASSERT(feedAll(reader, withFields(limits.maximumHeaderFields + 1)) == HttpReader::State::Failed);
        CPPUNIT_ASSERT(reader.failure() == HttpReader::Failure::HeaderTooLarge);
    }

    // Guards against memory that is allocated before it can be charged.
    void memoryIsAnnounced()
    {
        HttpReader reader(HttpReader::Type::Request, limits);
        reader.stopAfterHead();
        reader.feed(std::string(post) + "Content-Length: 4000\r\n\r\n");
        reader.resume();
        {
            Section section("a body of known length as a whole, at its first byte");
            CPPUNIT_ASSERT_EQUAL(size_t { 4000 }, reader.growthOf(1));
            CPPUNIT_ASSERT_EQUAL(size_t { 4000 }, reader.remainingBytes());
            auto before = reader.heldBytes();
            feedAll(reader, "\nx");
            CPPUNIT_ASSERT(reader.heldBytes() <= before + 4000);
            {
                Section nested("and nothing after that");
                CPPUNIT_ASSERT_EQUAL(size_t { 0 }, reader.growthOf(3999));
                CPPUNIT_ASSERT_EQUAL(size_t { 3999 }, reader.remainingBytes());
            }
        }
        {
            Section section("a taken message holds nothing");
            feedAll(reader, std::string(3999, 'x'));
            CPPUNIT_ASSERT(reader.state() == HttpReader::State::Complete);
            reader.takeMessage();
            CPPUNIT_ASSERT(reader.heldBytes() < 100);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpReaderTest);

} // namespace shallotdrift
