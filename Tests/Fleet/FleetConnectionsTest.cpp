#include "Fleet/Fleet.h"
#include "Fleet/HostileClients.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace trefoilwing;

namespace {

/// The memory in the settings of each process, and the bound of what it may ever hold.
constexpr int memoryMegabytes = 96;
#if defined(__SANITIZE_ADDRESS__)
/// With AddressSanitizer the measured memory includes its shadow memory and its quarantine of freed blocks, so only the
/// plain build checks the bound.
constexpr bool measuresMemory = false;
#else
constexpr bool measuresMemory = true;
#endif
/// The limit of each process's descriptors, and the bound of those that it may have open under an attack: some must be
/// left for its own connections and files.
constexpr int descriptorLimit = 200;
constexpr int maxDescriptors = 192;
/// More connections than a process has descriptors.
constexpr int manyClients = 400;
constexpr int fewClients = 6;
constexpr size_t bytesOfEach = 40U << 20U;
/// Size of the configuration that unread answers repeat.
constexpr size_t configurationBytes = 600U << 10U;
/// Time for a process to read what was sent to it. A shorter time would only hide faults.
constexpr absl::Duration settlingTime = absl::Seconds(1);
constexpr int readersOfNothing = 300;
constexpr int unfinishedCallers = 600;
constexpr int unfinishedOperators = 24;

const std::string chunkedHead = " HTTP/1.1\r\nHost: jobs.example\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string oneField = absl::StrCat("X-Filler: ", std::string(1000, 'x'), "\r\n");

/// @return the greatest resident memory that the process ever had, in megabytes.
uint64_t peakMegabytes(const ChildProcess& process)
{
    std::ifstream file(absl::StrCat("/proc/", process.id(), "/status"));
    std::string key;
    uint64_t kilobytes = 0;
    for (std::string rest; file >> key; std::getline(file, rest)) {
        if (key == "VmHWM:" && file >> kilobytes)
            break;
    }
    return kilobytes / 1024;
}

int openDescriptors(const ChildProcess& process)
{
    const std::filesystem::directory_iterator folder(absl::StrCat("/proc/", process.id(), "/fd"));
    return static_cast<int>(std::distance(begin(folder), end(folder)));
}

} // namespace

// The load here: clients that send without end, don't read, or are silent, at one process of a fleet. It must stay alive
// and within its memory and descriptors, and answer an ordinary request while their connections are still open.
TEST_GROUP(FleetConnections)
{
    Fleet fleet;

    void begin(int descriptors = 0)
    {
        fleet.setMemory(memoryMegabytes);
        fleet.setDescriptors(descriptors);
        fleet.startAll();
        CHECK_TEXT(fleet.publish(1), "the first configuration is acknowledged");
        CHECK_TEXT(fleet.awaitService({ "entry-1" }), "an entry serves");
    }

    void checkBounds(const std::string& name)
    {
        // What was sent may still be in the system's buffers.
        absl::SleepFor(settlingTime);
        CHECK_TEXT(!fleet.node(name).await(absl::ZeroDuration()), "the process is alive");
        const uint64_t peak = peakMegabytes(fleet.node(name));
        CHECK_TEXT(peak > 0 && (!measuresMemory || peak <= memoryMegabytes), absl::StrCat(name, " held ", peak, " MB").c_str());
    }

    void checkEntry()
    {
        checkBounds("entry-1");
        CHECK_TEXT(awaitStatus(fleet.callers("entry-1"), "/work/"), "an ordinary caller that connects now is answered");
        CHECK_TEXT(fleet.awaitService({ "entry-1" }), "an ordinary job is served");
    }

    /// @return whether a client that connects now gets a good answer within a minute.
    static bool awaitStatus(const Endpoint& endpoint, const std::string& path)
    {
        FleetCaller caller;
        const absl::Time end = absl::Now() + absl::Seconds(60);
        unsigned status = 0;
        while (status != 200 && absl::Now() < end)
            status = caller.call(endpoint, "GET", path).status;
        return status == 200;
    }

    void checkKeeper()
    {
        checkBounds("keeper-1");
        CHECK_TEXT(awaitStatus(fleet.control("keeper-1"), "/config"), "an ordinary client that connects now is answered");
    }

    void checkDescriptors(const std::string& name)
    {
        const int descriptors = openDescriptors(fleet.node(name));
        CHECK_TEXT(descriptors > 0 && descriptors <= maxDescriptors, absl::StrCat(name, " has ", descriptors, " descriptors").c_str());
    }
};

// Guards against a process that runs out of memory because it collects a message's trailers.
TEST(FleetConnections, EndlessTrailersToAnEntry)
{
    begin();
    HostileClients clients(fleet.callers("entry-1"));
    clients.connect(fewClients);
    clients.send(absl::StrCat("POST /work/0123456789abcdef", chunkedHead, "1\r\nx\r\n0\r\n"), oneField, bytesOfEach);
    checkEntry();
}

TEST(FleetConnections, EndlessTrailersToAKeeper)
{
    begin();
    HostileClients clients(fleet.control("keeper-1"));
    clients.connect(fewClients);
    clients.send(absl::StrCat("PUT /config", chunkedHead, "1\r\nx\r\n0\r\n"), oneField, bytesOfEach);
    checkKeeper();
}

// Guards against a process that runs out of memory because it collects the extensions of a chunk.
TEST(FleetConnections, EndlessChunkExtensionsToAnEntry)
{
    begin();
    HostileClients clients(fleet.callers("entry-1"));
    clients.connect(fewClients);
    clients.send(absl::StrCat("POST /work/0123456789abcdef", chunkedHead, "1"), absl::StrCat(";name=", std::string(1000, 'x')), bytesOfEach);
    checkEntry();
}

TEST(FleetConnections, EndlessHeadersToAnEntry)
{
    begin();
    HostileClients clients(fleet.callers("entry-1"));
    clients.connect(fewClients);
    clients.send("POST /work/0123456789abcdef HTTP/1.1\r\n", oneField, bytesOfEach);
    checkEntry();
}

TEST(FleetConnections, EndlessHeadersToAKeeper)
{
    begin();
    HostileClients clients(fleet.control("keeper-1"));
    clients.connect(fewClients);
    clients.send("PUT /config HTTP/1.1\r\n", oneField, bytesOfEach);
    checkKeeper();
}

// Guards against silent connections that use up a process's descriptors, so that it accepts no ordinary client.
TEST(FleetConnections, SilentConnectionsToAnEntry)
{
    begin(descriptorLimit);
    HostileClients clients(fleet.callers("entry-1"));
    clients.connect(manyClients);
    checkEntry();
    checkDescriptors("entry-1");
}

TEST(FleetConnections, SilentConnectionsToAKeeper)
{
    begin(descriptorLimit);
    HostileClients clients(fleet.control("keeper-1"));
    clients.connect(manyClients);
    checkKeeper();
    checkDescriptors("keeper-1");
}

// Guards against a few silent connections that hold all places of the readiness check.
TEST(FleetConnections, SilentConnectionsToTheReadinessCheck)
{
    begin();
    HostileClients clients(fleet.readiness("entry-1"));
    clients.connect(manyClients);
    CHECK_TEXT(awaitStatus(fleet.readiness("entry-1"), "/"), "the readiness check is answered");
    checkEntry();
}

// Guards against a process that runs out of memory although no message exceeds its limit, because many are unfinished.
TEST(FleetConnections, UnfinishedBodiesToAnEntry)
{
    begin();
    HostileClients clients(fleet.callers("entry-1"));
    clients.connect(unfinishedCallers);
    clients.send("POST /work/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 262144\r\n\r\n", std::string(1000, 'x'), 250000);
    checkEntry();
}

TEST(FleetConnections, UnfinishedBodiesToAKeeper)
{
    begin();
    HostileClients clients(fleet.control("keeper-1"));
    clients.connect(unfinishedOperators);
    clients.send("PUT /config HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 16777216\r\n\r\n", std::string(1000, 'x'), 8U << 20U);
    checkKeeper();
}

// Guards against a process that runs out of memory because it builds a document of many small values.
TEST(FleetConnections, WideJsonToAKeeper)
{
    begin();
    HostileClients clients(fleet.control("keeper-1"));
    clients.connect(1);
    const size_t values = 7U << 20U;
    std::string body = "{\"version\":[0";
    for (size_t i = 1; i < values; ++i)
        body += ",0";
    body += "]}";
    clients.send(absl::StrCat("PUT /config HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
    checkKeeper();
}

// Guards against connections that claim to be daemons and use up a process's descriptors.
TEST(FleetConnections, SilentConnectionsToThePortOfDaemons)
{
    begin(descriptorLimit);
    HostileClients clients(fleet.peerPortOf("entry-1"));
    clients.connect(manyClients);
    checkDescriptors("entry-1");
    checkEntry();
}

TEST(FleetConnections, PipeliningWithoutReadingAtAnEntry)
{
    begin();
    HostileClients clients(fleet.callers("entry-1"));
    clients.connect(fewClients);
    clients.send("", "GET /work/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n", bytesOfEach);
    checkEntry();
}

TEST(FleetConnections, PipeliningWithoutReadingAtAKeeper)
{
    begin();
    HostileClients clients(fleet.control("keeper-1"));
    clients.connect(fewClients);
    clients.send("", "GET /nothing HTTP/1.1\r\nHost: jobs.example\r\n\r\n", bytesOfEach);
    checkKeeper();
}

// Guards against a process that runs out of memory because it holds large answers for peers that don't read them.
TEST(FleetConnections, UnreadAnswersOfAKeeper)
{
    begin();
    const std::string configuration = FleetCaller::configuration(2) + std::string(configurationBytes, ' ');
    LONGS_EQUAL(200, fleet.caller().call(fleet.control("keeper-1"), "PUT", "/config", configuration).status);
    HostileClients clients(fleet.control("keeper-1"));
    clients.connect(readersOfNothing);
    clients.send("GET /config HTTP/1.1\r\nHost: jobs.example\r\n\r\nGET /config HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
    checkKeeper();
}

// Guards against clients that hold descriptors by sending a request a byte at a time.
TEST(FleetConnections, SingleByteSendersToAnEntry)
{
    begin(descriptorLimit);
    HostileClients clients(fleet.callers("entry-1"));
    clients.connect(manyClients);
    for (const char byte : std::string("POST /work/"))
        clients.send(std::string(1, byte));
    checkEntry();
    checkDescriptors("entry-1");
}

TEST(FleetConnections, SingleByteSendersToAKeeper)
{
    begin(descriptorLimit);
    HostileClients clients(fleet.control("keeper-1"));
    clients.connect(manyClients);
    for (const char byte : std::string("PUT /config"))
        clients.send(std::string(1, byte));
    checkKeeper();
    checkDescriptors("keeper-1");
}
