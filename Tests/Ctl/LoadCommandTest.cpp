#include "Ctl/LoadCommand.h"

#include "Adapters/Clock/SeededRandom.h"
#include "Adapters/Yaml/DeclarationLoader.h"
#include "Ctl/FakeOperatorLink.h"

#include <algorithm>
#include <atomic>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string declarationsFolder = std::string(TREFOILWING_EXAMPLES) + "/Addis/declarations";

/// Returns complete answers for idempotent items and an error for all others.
class FakeCallerLink : public CallerLink {
public:
    Result<size_t> send(const LoadItem& item) override
    {
        if (!item.isIdempotent)
            return Error { ErrorCode::Overloaded, "busy", Verdict::NotRun };
        return item.payloads.size();
    }
};

} // namespace

TEST_GROUP(LoadCommand)
{
    std::vector<ServiceDeclaration> services = *valueOf(loadDeclarations(declarationsFolder));
};

TEST(LoadCommand, PlansTheSameArrivalsForASeed)
{
    const LoadShape shape { 100, absl::Seconds(20), 5, 0.5, 7, 100000 };
    SeededRandom first(3);
    SeededRandom second(3);
    const std::vector<LoadItem> items = planLoad(services, shape, "a", first);
    const std::vector<LoadItem> again = planLoad(services, shape, "a", second);
    LONGS_EQUAL(items.size(), again.size());
    CHECK_TRUE(items.back().at == again.back().at && items.back().payloads == again.back().payloads);
    // 16 s at 100 arrivals per second and a peak of 4 s at 500.
    const auto inPeak = std::count_if(items.begin(), items.end(), [](const LoadItem& item) { return item.at >= absl::Seconds(8) && item.at < absl::Seconds(12); });
    CHECK_TRUE(inPeak > 1800 && inPeak < 2200);
    CHECK_TRUE(items.size() > 3300 && items.size() < 3900);
    const auto jobs = std::count_if(items.begin(), items.end(), [](const LoadItem& item) { return item.isJob && item.payloads.size() == 7; });
    CHECK_TRUE(jobs > 1600 && jobs < 2000);
}

TEST(LoadCommand, ReportsFailuresByCodeAndVerdict)
{
    std::map<uint16_t, FakeDaemon> daemons;
    daemons[1].configuration.services = services;
    std::ostringstream out;
    std::ostringstream err;
    Console console { out, err };
    LoadCommand command(linksTo(daemons), [](const Endpoint&) { return std::make_unique<FakeCallerLink>(); });
    const auto line = CommandLine::parse(command.options(), { "--entry", "127.0.0.1:1", "--duration", "100ms", "--rate", "500", "--max", "20" });
    CHECK_TRUE(command.run(*valueOf(line), console) == ExitCode::Failed);
    CHECK_TRUE(out.str().find("20 arrivals") != std::string::npos);
    CHECK_TRUE(out.str().find("overloaded  not run") != std::string::npos);
    CHECK_TRUE(out.str().find("quote-follow-up / price-material") != std::string::npos);
}
