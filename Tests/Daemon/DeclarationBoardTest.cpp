#include "Daemon/DeclarationBoard.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(DeclarationBoard)
{
    DeclarationBoard board;

    Configuration configuration(uint64_t version, const std::vector<std::string>& services)
    {
        Configuration made;
        made.version = ConfigurationVersion(version);
        for (const std::string& service : services) {
            ServiceDeclaration declaration;
            declaration.service = ServiceId(service);
            made.services.push_back(declaration);
        }
        return made;
    }
};

TEST(DeclarationBoard, HasNoConfigurationAtFirst)
{
    CHECK_FALSE(board.hasConfiguration());
    CHECK(board.find(ServiceId("follow-up")) == nullptr);
}

TEST(DeclarationBoard, NamesTheServicesThatAChangeRemoved)
{
    board.set(configuration(1, { "follow-up", "loans" }));
    CHECK(board.hasConfiguration());
    const std::vector<ServiceId> removed = board.set(configuration(2, { "loans" }));
    LONGS_EQUAL(1, removed.size());
    CHECK(removed[0] == ServiceId("follow-up"));
    CHECK(board.find(ServiceId("loans")) != nullptr);
}

TEST(DeclarationBoard, AReaderKeepsTheDeclarationThatItGot)
{
    board.set(configuration(1, { "loans" }));
    const auto held = board.find(ServiceId("loans"));
    board.set(configuration(2, {}));
    STRCMP_EQUAL("loans", held->service.value().c_str());
}
