#include "Adapters/Yaml/DeclarationLoader.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string goodDeclaration = "service: loans\n"
                                    "default_deadline: 10s\n"
                                    "max_payload: 32KiB\n"
                                    "objective: {share: 0.995, within: 1.5s}\n"
                                    "backers:\n"
                                    "  - {backer: dealers, quota: 3, home: songino}\n"
                                    "task_kinds:\n"
                                    "  - kind: credit-check\n"
                                    "    expected_run_time: 250ms\n"
                                    "    idempotent: true\n"
                                    "    needs: {accelerators: 1}\n";

void checkFault(const std::string& part, const std::string& by, const std::string& fault)
{
    std::string text = goodDeclaration;
    text.replace(text.find(part), part.size(), by);
    const Result<ServiceDeclaration> result = parseDeclaration(text, "b.yaml");
    const std::string message = errorOf(result) ? errorOf(result)->message : "(accepted)";
    if (message.find(fault) == std::string::npos)
        FAIL(("no '" + fault + "' in: " + message).c_str());
}

} // namespace

TEST_GROUP(DeclarationLoader) {};

TEST(DeclarationLoader, ReadsEveryMember)
{
    const Result<ServiceDeclaration> result = parseDeclaration(goodDeclaration, "b.yaml");
    const ServiceDeclaration* declaration = valueOf(result);
    CHECK_TRUE(declaration);
    CHECK_TRUE(declaration->defaultDeadline == absl::Seconds(10));
    CHECK_TRUE(declaration->maxPayload == Bytes(32768));
    CHECK_TRUE((declaration->objective == ServiceLevelObjective { 0.995, absl::Milliseconds(1500) }));
    CHECK_TRUE((declaration->backers == std::vector<BackerDeclaration> { { BackerId("dealers"), 3, DataCentreId("songino") } }));
    CHECK_TRUE((declaration->kinds == std::vector<TaskKindDeclaration> { { TaskKindId("credit-check"), absl::Milliseconds(250), true, { { "accelerators", 1 } } } }));
}

TEST(DeclarationLoader, NamesLineKeyAndCureOfAFault)
{
    checkFault("250ms", "250", "b.yaml:9: task_kinds[0].expected_run_time: '250' isn't a duration in range; write a duration with its unit");
    checkFault("250ms", "2h", "b.yaml:9: task_kinds[0].expected_run_time: '2h' isn't a duration in range");
    checkFault("true", "yes", "b.yaml:10: task_kinds[0].idempotent: 'yes' is neither true nor false; write true or false");
    checkFault("0.995", "99.5", "b.yaml:4: objective.share: '99.5' isn't a number in range; write a number from 0.5 to 0.99999");
    checkFault("quota: 3", "quota: [3]", "b.yaml:6: backers[0].quota: a list or mapping is given where a single value is expected");
    checkFault("within: 1.5s", "within: 11s", "b.yaml:4: objective.within: the objective allows more time than the default deadline");
    checkFault("accelerators: 1", "accelerators: 1, accelerators: 2", "b.yaml:11: task_kinds[0].needs.accelerators: this resource is listed twice");
    checkFault("32KiB", "17MiB", "b.yaml:3: max_payload: '17MiB' isn't a size in range");
    checkFault("home: songino}", "home: songino}\n  - {backer: dealers, home: songino}", "b.yaml:7: backers[1]: 'dealers' is already listed at line 6");
}
