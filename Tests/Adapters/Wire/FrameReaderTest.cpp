#include "Adapters/Wire/FrameReader.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(FrameReader)
{
    FrameReader reader { Bytes(8) };
};

TEST(FrameReader, SplitsFramesReceivedByteByByte)
{
    const std::string stream = makeFrame("one") + makeFrame("") + makeFrame("three");
    std::string seen;
    for (const char byte : stream) {
        reader.append(std::string_view(&byte, 1));
        while (const auto content = reader.next())
            seen.append("[").append(*content).append("]");
    }
    STRCMP_EQUAL("[one][][three]", seen.c_str());
}

TEST(FrameReader, RefusesAnOversizedFrameByItsHeader)
{
    reader.append(makeFrame("12345678") + makeFrame("123456789").substr(0, frameHeaderSize));
    CHECK(reader.next() == "12345678");
    CHECK(!reader.next());
    CHECK(reader.isBroken());
}
