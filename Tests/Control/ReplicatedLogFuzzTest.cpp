#include "Control/RecordingGroup.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>

#include <CppUTest/TestHarness.h>

// Injects faults at random moments into the members of one replicated log. LogOracle checks the invariants: committed
// entries never change, a term has one leader, a version keeps its content, and a submission has one owner.

using namespace trefoilwing;

namespace {

struct NoModel { };

/// The cluster under test with the oracle that checks it.
struct System {
    System(const GroupCluster::Options& options, bool mayLoseAnything)
        : losesAnything(mayLoseAnything)
    {
        oracle.mayStartAgain = mayLoseAnything;
        cluster = makeRecordingCluster(oracle, options);
        disks = options.hostsWithDisk;
        cluster->runUntil([this] { return cluster->isWhole(); });
    }

    RecordingGroup* member(size_t host) { return dynamic_cast<RecordingGroup*>(cluster->group(host % cluster->size())); }

    void run(absl::Duration duration)
    {
        const absl::Time end = cluster->now() + duration;
        while (cluster->now() < end) {
            cluster->run(absl::Milliseconds(10));
            checkLeaders(*cluster, oracle);
        }
        RC_ASSERT(oracle.violation() == "");
    }

    /// Whether a member may lose its state now: a group has to survive only one such loss at a time.
    bool mayLose() { return losesAnything || cluster->isWhole(); }

    LogOracle oracle;
    std::unique_ptr<GroupCluster> cluster;
    size_t disks = 0;
    bool losesAnything;
};

using Command = rc::state::Command<NoModel, System>;

/// Base of all commands: a host, and a random number for the command's other parameters.
struct HostCommand : Command {
    size_t host = *rc::gen::inRange<size_t>(0, 5);
    uint64_t choice = *rc::gen::inRange<uint64_t>(0, 1000);

    size_t hostOf(System& system) const { return host % system.cluster->size(); }
    void print(std::ostream& stream, const char* name) const { stream << name << "(" << host << ", " << choice << ")"; }
};

struct Run : HostCommand {
    void run(const NoModel&, System& system) const override { system.run(absl::Milliseconds(choice + 1)); }
    void show(std::ostream& stream) const override { print(stream, "Run"); }
};

struct Claim : HostCommand {
    void run(const NoModel&, System& system) const override
    {
        if (RecordingGroup* member = system.member(host))
            member->proposeCommand(claimOf(choice % 20, host));
    }
    void show(std::ostream& stream) const override { print(stream, "Claim"); }
};

struct Publish : HostCommand {
    void run(const NoModel&, System& system) const override
    {
        if (RecordingGroup* member = system.member(host))
            member->proposeCommand(publishOf(member->version().value(), choice));
    }
    void show(std::ostream& stream) const override { print(stream, "Publish"); }
};

struct Crash : HostCommand {
    void run(const NoModel&, System& system) const override
    {
        if (hostOf(system) < system.disks || system.mayLose())
            system.cluster->crash(hostOf(system), choice % 4);
    }
    void show(std::ostream& stream) const override { print(stream, "Crash"); }
};

struct LoseDisk : HostCommand {
    void run(const NoModel&, System& system) const override
    {
        if (system.mayLose())
            system.cluster->loseDisk(hostOf(system));
    }
    void show(std::ostream& stream) const override { print(stream, "LoseDisk"); }
};

struct Restart : HostCommand {
    void run(const NoModel&, System& system) const override { system.cluster->restart(hostOf(system)); }
    void show(std::ostream& stream) const override { print(stream, "Restart"); }
};

struct Freeze : HostCommand {
    void run(const NoModel&, System& system) const override { system.cluster->freeze(hostOf(system)); }
    void show(std::ostream& stream) const override { print(stream, "Freeze"); }
};

struct Resume : HostCommand {
    void run(const NoModel&, System& system) const override { system.cluster->resume(hostOf(system)); }
    void show(std::ostream& stream) const override { print(stream, "Resume"); }
};

struct Cut : HostCommand {
    void run(const NoModel&, System& system) const override { system.cluster->cut({ hostOf(system), choice % system.cluster->size() }); }
    void show(std::ostream& stream) const override { print(stream, "Cut"); }
};

struct Heal : HostCommand {
    void run(const NoModel&, System& system) const override { system.cluster->heal(); }
    void show(std::ostream& stream) const override { print(stream, "Heal"); }
};

/// Makes the network drop, duplicate, delay and reorder messages.
struct Disturb : HostCommand {
    void run(const NoModel&, System& system) const override
    {
        const auto percent = static_cast<uint32_t>(choice % 30);
        system.cluster->setFaults({ percent, 30 - percent, absl::Milliseconds(choice / 4) });
    }
    void show(std::ostream& stream) const override { print(stream, "Disturb"); }
};

struct SlowDisk : HostCommand {
    void run(const NoModel&, System& system) const override { system.cluster->setSyncTime(hostOf(system), absl::Milliseconds(choice / 2)); }
    void show(std::ostream& stream) const override { print(stream, "SlowDisk"); }
};

/// Repairs everything for a while, so that the next loss is a second one right after a repair.
struct Mend : HostCommand {
    void run(const NoModel&, System& system) const override
    {
        system.cluster->repairAll();
        system.run(absl::Seconds(5));
    }
    void show(std::ostream& stream) const override { print(stream, "Mend"); }
};

GroupCluster::Options anyOptions()
{
    GroupCluster::Options options;
    options.hosts = *rc::gen::inRange<size_t>(3, 6);
    options.hostsWithDisk = *rc::gen::inRange<size_t>(1, options.hosts + 1);
    options.maxVoters = *rc::gen::element(3U, 5U);
    options.maxEntries = *rc::gen::element<uint64_t>(10, 20000);
    options.seed = *rc::gen::inRange<uint64_t>(1, 1000000);
    return options;
}

void runCommands(System& system)
{
    rc::state::check(NoModel {}, system,
        rc::state::gen::execOneOfWithArgs<Run, Run, Run, Claim, Claim, Claim, Publish, Publish, Crash, Restart, LoseDisk, Freeze, Resume, Cut, Heal, Disturb, SlowDisk, Mend>());
}

} // namespace

TEST_GROUP(ReplicatedLogFuzz) {};

TEST(ReplicatedLogFuzz, NoCommittedEntryIsLostWithOneLossAtATime)
{
    CHECK(rc::check([] {
        System system(anyOptions(), false);
        RC_ASSERT(system.cluster->isWhole());
        runCommands(system);
        system.cluster->repairAll();
        for (size_t host = 0; host < system.cluster->size(); ++host)
            system.cluster->setSyncTime(host, absl::Milliseconds(5));
        RC_ASSERT(system.cluster->runUntil([&] { return system.cluster->isWhole(); }, absl::Minutes(2)));
        const size_t leader = system.cluster->leader();
        RC_ASSERT(system.oracle.lastCommitted() <= system.member(leader)->status().commitIndex);
        RC_ASSERT(system.oracle.versions() == system.member(leader)->version().value());
        RC_ASSERT(system.oracle.violation() == "");
    }));
}

TEST(ReplicatedLogFuzz, NoSubmissionIsGrantedTwiceWhateverIsLost)
{
    CHECK(rc::check([] {
        GroupCluster::Options options = anyOptions();
        options.claimGuard = absl::Hours(100);
        System system(options, true);
        // The guard time of the first founding has passed; that of a founding after a loss hasn't.
        system.cluster->skip(absl::Hours(100));
        runCommands(system);
        system.cluster->repairAll();
        system.run(absl::Seconds(20));
    }));
}
