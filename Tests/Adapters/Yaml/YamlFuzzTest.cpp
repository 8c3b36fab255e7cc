#include "Adapters/Yaml/DeclarationLoader.h"
#include "Adapters/Yaml/SettingsLoader.h"

#include <rapidcheck.h>

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

std::string readExample(const std::string& name)
{
    std::ostringstream text;
    text << std::ifstream(std::string(TREFOILWING_EXAMPLES) + "/" + name).rdbuf();
    return text.str();
}

/// Replaces, removes or inserts bytes, mostly characters that are significant in YAML.
std::string mutated(std::string text)
{
    const auto piece = rc::gen::elementOf(std::vector<std::string> {
        "", "\n", "  ", ":", ": ", "- ", "[", "]", "{", "}", "&a ", "*a", "!", "|", ">", "'", "\"", "#", "\t", "~", "0", "-1", "1e99", "99999999999999999999", "inf", "\xff", std::string(1, '\0'), "? ", "<<: *a" });
    const auto count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
        const auto at = *rc::gen::inRange<size_t>(0, text.size() + 1);
        const auto length = *rc::gen::inRange<size_t>(0, 4);
        text.replace(at, length, *piece);
    }
    return text;
}

template <typename T>
void checkNamesFile(const Result<T>& result)
{
    if (const Error* error = errorOf(result)) {
        std::istringstream lines(error->message);
        std::string line;
        RC_ASSERT(std::getline(lines, line));
        RC_ASSERT(line.rfind("mutated.yaml:", 0) == 0U);
        RC_ASSERT(error->verdict == Verdict::NotRun);
    }
}

} // namespace

TEST_GROUP(YamlFuzz) {};

TEST(YamlFuzz, MutatedFilesGiveAValueOrAnErrorThatNamesTheFile)
{
    const std::string settings = readExample("Addis/settings/bole-1.yaml");
    const std::string declaration = readExample("Khangai/declarations/loan-decision.yaml");
    CHECK_TRUE(valueOf(parseSettings(settings, "mutated.yaml")));
    CHECK_TRUE(valueOf(parseDeclaration(declaration, "mutated.yaml")));
    CHECK_TRUE(rc::check("settings", [&] { checkNamesFile(parseSettings(mutated(settings), "mutated.yaml")); }));
    CHECK_TRUE(rc::check("declarations", [&] { checkNamesFile(parseDeclaration(mutated(declaration), "mutated.yaml")); }));
    CHECK_TRUE(rc::check("any text", [] { checkNamesFile(parseDeclaration(*rc::gen::arbitrary<std::string>(), "mutated.yaml")); }));
}

TEST(YamlFuzz, DeepNestingIsAnError)
{
    CHECK_TRUE(errorOf(parseDeclaration(std::string(500000, '['), "deep.yaml")));
    CHECK_TRUE(errorOf(parseDeclaration(std::string(500000, '{'), "deep.yaml")));
}
