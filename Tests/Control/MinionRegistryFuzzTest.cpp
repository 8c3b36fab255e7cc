#include "Control/EntryCluster.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <ostream>

#include <CppUTest/TestHarness.h>

// Injects faults at random moments into entries that track the leases of one data centre's minions. Invariants:
// once an entry's run has seen a minion's run leaving, it never reports that run as serving; an older run of a
// minion never comes back; and soon after the faults end all entries know exactly the minions that exist.

using namespace trefoilwing;

namespace {

constexpr size_t minions = 4;

/// Upper bound (exclusive) of an action's choice.
constexpr uint32_t maxChoice = 1000;

/// Longer than a minion's lease and than the time after which a silent entry is presumed dead.
constexpr absl::Duration settlingTime = absl::Seconds(9);

struct NoModel { };

/// One kind of fault or event. An action applies it to a target, with a random number for its other parameters.
struct ActionKind {
    const char* name;
    void (*act)(EntryCluster&, size_t target, uint32_t choice);
};

/// Delivers a copy of any earlier announcement to any entry.
void announceAgain(EntryCluster& cluster, size_t target, uint32_t choice)
{
    if (!cluster.history().empty())
        cluster.announce(cluster.history()[choice * cluster.history().size() / maxChoice], target);
}

/// Makes a leaving minion renew its lease once as if it were serving.
void serveAgain(EntryCluster& cluster, size_t target, uint32_t choice)
{
    for (size_t i = target; i < target + minions; ++i) {
        MinionAnnouncement& announcement = cluster.minion(i).announcement;
        if (announcement.state != MinionState::Leaving)
            continue;
        MinionAnnouncement wrong = announcement;
        wrong.sequence = ++announcement.sequence;
        wrong.state = MinionState::Serving;
        cluster.announce(wrong, choice);
    }
}

constexpr std::array<ActionKind, 17> actionKinds { {
    { "run", [](EntryCluster& cluster, size_t, uint32_t choice) { cluster.run(absl::Milliseconds(choice)); } },
    { "run long", [](EntryCluster& cluster, size_t, uint32_t choice) { cluster.run(absl::Milliseconds(4 * choice)); } },
    { "kill", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.kill(target); } },
    { "restart", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.restart(target); } },
    { "freeze", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.freeze(target); } },
    { "resume", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.resume(target); } },
    { "drain", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.drain(target); } },
    { "leave", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.leave(target); } },
    { "isolate", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.isolate(target); } },
    { "heal", [](EntryCluster& cluster, size_t, uint32_t) { cluster.heal(); } },
    { "disturb", [](EntryCluster& cluster, size_t, uint32_t choice) {
         cluster.setFaults({ choice % 40, 40 - choice % 40, absl::Milliseconds(choice) });
     } },
    { "stop minion", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.stopMinion(target); } },
    { "restart minion", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.restartMinion(target); } },
    { "leave minion", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.leaveMinion(target); } },
    { "resize minion", [](EntryCluster& cluster, size_t target, uint32_t choice) { cluster.resizeMinion(target, choice % 9); } },
    { "announce again", announceAgain },
    { "serve again", serveAgain },
} };

struct Action : rc::state::Command<NoModel, EntryCluster> {
    size_t kind = *rc::gen::inRange<size_t>(0, actionKinds.size());
    size_t target = *rc::gen::inRange<size_t>(0, 12);
    uint32_t choice = *rc::gen::inRange<uint32_t>(0, maxChoice);

    void run(const NoModel&, EntryCluster& cluster) const override
    {
        actionKinds[kind].act(cluster, target, choice);
        RC_ASSERT(cluster.violation() == "");
    }

    void show(std::ostream& stream) const override
    {
        stream << actionKinds[kind].name << "(" << target << ", " << choice << ")";
    }
};

/// Ends all faults, after which the entries must converge to the true state.
void settle(EntryCluster& cluster)
{
    cluster.heal();
    for (size_t i = 0; i < cluster.size(); ++i) {
        cluster.resume(i);
        if (!cluster.entry(i).isUp())
            cluster.restart(i);
    }
    cluster.run(settlingTime);
}

} // namespace

TEST_GROUP(MinionRegistryFuzz) {};

TEST(MinionRegistryFuzz, EntriesConvergeToTheTrueStateAndLeavingIsFinal)
{
    CHECK(rc::check("leases under faults", [] {
        EntryCluster cluster({ 1, 3, *rc::gen::inRange<uint64_t>(1, 1000000) });
        for (size_t i = 0; i < minions; ++i)
            cluster.addMinion();
        cluster.run(absl::Seconds(2));
        rc::state::check(NoModel {}, cluster, rc::state::gen::execOneOfWithArgs<Action>());
        settle(cluster);
        RC_ASSERT(cluster.violation() == "");
        RC_ASSERT(cluster.disagreement() == "");
    }));
}
