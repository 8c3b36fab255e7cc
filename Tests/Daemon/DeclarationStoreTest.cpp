#include "Daemon/DeclarationStore.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

TEST_GROUP(DeclarationStore)
{
    DeclarationStore store;

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

TEST(DeclarationStore, HasNoConfigurationAtFirst)
{
    CHECK_FALSE(store.hasConfiguration());
    CHECK(store.find(ServiceId("follow-up")) == nullptr);
}

TEST(DeclarationStore, NamesTheServicesThatAChangeRemoved)
{
    store.set(configuration(1, { "follow-up", "loans" }));
    CHECK(store.hasConfiguration());
    const std::vector<ServiceId> removed = store.set(configuration(2, { "loans" }));
    LONGS_EQUAL(1, removed.size());
    CHECK(removed[0] == ServiceId("follow-up"));
    CHECK(store.find(ServiceId("loans")) != nullptr);
}

TEST(DeclarationStore, AReaderKeepsTheDeclarationThatItGot)
{
    store.set(configuration(1, { "loans" }));
    const auto held = store.find(ServiceId("loans"));
    store.set(configuration(2, {}));
    STRCMP_EQUAL("loans", held->service.value().c_str());
}
