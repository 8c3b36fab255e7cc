#include "Ctl/TraceCommand.h"
#include "Ctl/RequestTrace.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace trefoilwing;

TEST_GROUP(LogLine) {};

TEST(LogLine, FieldsAndQuotedValuesAreRead)
{
    const auto line = parseLogLine("  12.5 node-1 time=1790861428759 level=info node=entry-1 event=job_turned_down request=\"\" job=ab why=\"reason=out_of_time age_ms=584\"\r");
    CHECK(line.has_value());
    CHECK(line->milliseconds == 1790861428759);
    STRCMP_EQUAL("entry-1", line->node.c_str());
    STRCMP_EQUAL("job_turned_down", line->event.c_str());
    STRCMP_EQUAL("", line->field("request").c_str());
    STRCMP_EQUAL("reason=out_of_time age_ms=584", line->field("why").c_str());
}

TEST(LogLine, LinesWithoutAnEventAreSkipped)
{
    for (const char* text : { "", "time=", "time=x event=a", "time=5 node=a", "a line of something else", "time=5 event", "time=5 event=\"a" }) {
        const auto line = parseLogLine(text);
        CHECK(!line || line->event == "a");
    }
}

TEST_GROUP(Trace)
{
    const std::string folder = makeFolder();

    static std::string makeFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "trace-XXXXXX").string();
        CHECK(::mkdtemp(name.data()) != nullptr);
        return name;
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    std::string write(const std::string& name, const std::string& content)
    {
        std::ofstream(folder + "/" + name) << content;
        return folder + "/" + name;
    }

    ExitCode trace(const std::vector<std::string>& words, std::string& out)
    {
        std::ostringstream text;
        std::ostringstream errors;
        Console console { text, errors };
        TraceCommand command;
        const Result<CommandLine> line = CommandLine::parse(command.options(), words);
        const ExitCode code = command.run(*valueOf(line), console);
        out = text.str() + errors.str();
        return code;
    }
};

// A request is late because one of its runs made no progress. The owner's lines are in another file than the entry's.
TEST(Trace, LinesOfAllFilesAreMergedInOrder)
{
    const std::string owner = write("owner.log",
        "time=1790861440749 level=info node=owner event=run_stalled request=r1 job=j1 minion=i-081 why=\"task=1 run=7 progress=68\"\n"
        "time=1790861440750 level=info node=owner event=run_stalled request=r2 job=j2 minion=i-081 why=\"\"\n");
    const std::string entry = write("entry.log",
        "time=1790861439951 level=info node=entry event=job_offered request=r1 job=j1 tasks=2\n"
        "no event\n"
        "time=1790861440874 level=info node=entry event=job_answered request=r1 job=j1 outcome=completed taken_ms=925 queued_ms=0 late=yes\n");
    std::string out;
    CHECK(trace({ "r1", owner, entry }, out) == ExitCode::Ok);
    const size_t offered = out.find("job_offered");
    const size_t stalled = out.find("run_stalled");
    const size_t answered = out.find("job_answered");
    CHECK(offered < stalled && stalled < answered && answered != std::string::npos);
    CHECK(out.find("- a run made no progress and was stopped, minion i-081, why task=1 run=7 progress=68") != std::string::npos);
    CHECK(out.find("- answered after 925 ms, late: all its tasks succeeded") != std::string::npos);
    CHECK(out.find("j2") == std::string::npos);
}

TEST(Trace, LinesThatNameOnlyTheJobAreFound)
{
    const std::string log = write("a.log",
        "time=5 node=owner event=job_orphaned request=\"\" job=j1 why=\"entry=10.2.0.40\"\n"
        "time=4 node=entry event=job_offered request=r1 job=j1\n");
    std::string out;
    CHECK(trace({ "r1", log }, out) == ExitCode::Ok);
    CHECK(out.find("- its entry was lost, and the owner stopped it, why entry=10.2.0.40") != std::string::npos);
    CHECK(trace({ "j1", log }, out) == ExitCode::Ok);
    CHECK(out.find("job_offered") != std::string::npos);
}

TEST(Trace, MissingInputIsAClearError)
{
    std::string out;
    CHECK(trace({ "r1" }, out) == ExitCode::Usage);
    CHECK(trace({ "r1", folder + "/none.log" }, out) == ExitCode::Failed);
    CHECK(out.find("none.log: can't be read") != std::string::npos);
    CHECK(trace({ "r1", write("a.log", "time=4 node=entry event=job_offered request=r2 job=j2\n") }, out) == ExitCode::Failed);
    CHECK(out.find("no line names 'r1'") != std::string::npos);
}
