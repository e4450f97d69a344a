#include "Section.h"

#include "shallotdrift/src/Operators/StreamCounter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace shallotdrift::internal {

namespace {

    constexpr char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    enum FrameType : uint8_t { Data = 0, Headers = 1, Reset = 3, Settings = 4 };
    constexpr uint8_t endOfStream = 1;

    std::string frame(FrameType type, uint8_t flags, uint32_t stream, size_t length)
    {
        std::string text;
        for (int shift : { 16, 8, 0 })
            text += static_cast<char>(length >> shift);
        text += static_cast<char>(type);
        text += static_cast<char>(flags);
        for (int shift : { 24, 16, 8, 0 })
            text += static_cast<char>(stream >> shift);
        return text + std::string(length, '\x01');
    }

} // namespace

class StreamCounterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamCounterTest);
    CPPUNIT_TEST(openStreamsAreCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a client that opens any number of calls on one connection.
    void openStreamsAreCounted()
    {
        StreamCounter counter;
        {
            Section section("each header frame of the client opens a stream, however the bytes are split");
            auto bytes = preface + frame(Settings, 0, 0, 12);
            for (uint32_t stream = 1; stream <= 9; stream += 2)
                bytes += frame(Headers, 0, stream, 300) + frame(Data, endOfStream, stream, 70000);
            for (size_t i = 0; i < bytes.size(); i += 7)
                counter.onClientBytes(std::string_view(bytes).substr(i, 7));
            CPPUNIT_ASSERT_EQUAL(size_t { 5 }, counter.openStreams());
            {
                Section nested("more frames of one stream do not");
                counter.onClientBytes(frame(Headers, endOfStream, 9, 10));
                CPPUNIT_ASSERT_EQUAL(size_t { 5 }, counter.openStreams());
            }
        }
        {
            Section section("a stream ends when the server ends it");
            counter.onServerBytes(
                frame(Settings, endOfStream, 0, 0) + frame(Headers, 0, 1, 20) + frame(Data, 0, 1, 500));
            CPPUNIT_ASSERT_EQUAL(size_t { 5 }, counter.openStreams());
            counter.onServerBytes(frame(Headers, endOfStream, 1, 20) + frame(Reset, 0, 3, 4));
            CPPUNIT_ASSERT_EQUAL(size_t { 3 }, counter.openStreams());
            {
                Section nested("but not when the client gives it up");
                counter.onClientBytes(frame(Reset, 0, 5, 4));
                CPPUNIT_ASSERT_EQUAL(size_t { 3 }, counter.openStreams());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamCounterTest);

} // namespace shallotdrift::internal
