#include "Ctl/CheckCommand.h"

#include "Adapters/Yaml/SettingsLoader.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

const std::string examples = TREFOILWING_EXAMPLES;

} // namespace

TEST_GROUP(Examples)
{
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("trefoilwing-examples-" + std::to_string(getpid()));
    std::ostringstream out;
    std::ostringstream err;

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    ExitCode check(const std::string& path)
    {
        Console console { out, err };
        return CheckCommand().run(*valueOf(CommandLine::parse({}, { path })), console);
    }

    void checkFault(const std::string& part)
    {
        CHECK_TRUE(check(folder.string()) == ExitCode::Failed);
        if (err.str().find(part) == std::string::npos)
            FAIL(("no '" + part + "' in: " + err.str()).c_str());
    }

    void replaceIn(const std::string& file, const std::string& part, const std::string& by)
    {
        std::ostringstream text;
        text << std::ifstream(folder / file).rdbuf();
        std::string content = text.str();
        content.replace(content.find(part), part.size(), by);
        std::ofstream(folder / file) << content;
    }
};

TEST(Examples, BothDeploymentsPassTheCheck)
{
    for (const char* name : { "/Addis", "/Khangai" }) {
        if (check(examples + name) != ExitCode::Ok)
            FAIL(err.str().c_str());
    }
}

TEST(Examples, KeepersAreInThreeDataCentres)
{
    for (const char* file : { "/Addis/settings/bole-1.yaml", "/Khangai/settings/songino-2.yaml" }) {
        const Result<DaemonSettings> settings = loadSettings(examples + file);
        CHECK_TRUE(valueOf(settings));
        std::set<DataCentreId> dataCentres;
        for (const PeerSettings& peer : valueOf(settings)->peers) {
            if (peer.isKeeper)
                dataCentres.insert(peer.dataCentre);
        }
        LONGS_EQUAL(3, dataCentres.size());
    }
}

TEST(Examples, FindsFaultsBetweenFiles)
{
    std::filesystem::copy(examples + "/Addis", folder, std::filesystem::copy_options::recursive);
    replaceIn("declarations/quote-follow-up.yaml", "home: piassa", "home: piasa");
    checkFault("quote-follow-up.yaml:16: backers[2].home: 'piasa' is no data centre of the settings; did you mean 'piassa'?");
    replaceIn("settings/merkato-2.yaml", "10.41.2.12:8100", "10.41.2.13:8100");
    checkFault("merkato-2.yaml:1: peers: they differ from those in");
    replaceIn("settings/piassa-2.yaml", "daemon: piassa-2", "daemon: piassa-1\ndata_folder: data");
    checkFault("piassa-2.yaml:1: daemon: 'piassa-1' has settings already in");
    std::filesystem::copy_file(folder / "declarations/quote-follow-up.yaml", folder / "again.yaml");
    checkFault("quote-follow-up.yaml:1: service: 'quote-follow-up' is declared already in");
}

TEST(Examples, SettingsOfAFleetAreCheckedAgainstEachOther)
{
    std::filesystem::create_directories(folder);
    auto write = [&](const std::string& name, const std::string& address, int peerPort) {
        std::ofstream(folder / name) << "node: " << name << "\naddress: \"" << address << "\"\ndata_centre: bole\npeer_port: " << peerPort
                                     << "\nseeds: [\"10.0.0.1:8166\"]\ncallers: \"" << address << ":8161\"\n";
    };
    write("entry-1.yaml", "10.0.0.2", 7720);
    write("entry-2.yaml", "10.0.0.3", 7720);
    CHECK_TRUE(check(folder.string()) == ExitCode::Ok);
    write("entry-3.yaml", "10.0.0.2", 7720);
    checkFault("entry-3.yaml:1: address: '10.0.0.2' is that of");
    write("entry-3.yaml", "10.0.0.4", 7721);
    checkFault("entry-3.yaml:1: peer_port: it differs from that in");
    std::ofstream(folder / "entry-3.yaml") << "node: entry-3\naddress: \"10.0.0.4\"\n";
    checkFault("entry-3.yaml:1: ");
    checkFault("seeds");
}
