#pragma once

#include "Model/MinionMessages.h"
#include "StandIns/Caller.h"
#include "System/ChildProcess.h"
#include "System/StartRecord.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// Real daemons and stand-in minions on loopback, with their files in a temporary folder. There are two data centres,
/// "bole" and "merkato", with the daemons bole-1, bole-2, merkato-1 and merkato-2.
///
/// All daemons are entries; all but merkato-2 are also keepers. The service "follow-up" has the task kind "price" and
/// the backers "shop-a", whose home is bole, and "shop-b", whose home is merkato.
class Cluster {
public:
    Cluster();
    ~Cluster();

    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    void startDaemon(const std::string& name);
    /// Starts minions in a data centre. They log each start and end of a task.
    /// @param behaviour of the minions; see StandInMinion.
    /// @param after number of tasks after which the behaviour begins.
    void startMinions(const std::string& name, const std::string& dataCentre, int count, const std::string& behaviour = "obedient", int after = 0);
    /// Publishes the declarations and waits until every entry serves both backers.
    /// @return whether that was so within a minute.
    bool publishAndAwaitService();

    ChildProcess& process(const std::string& name) { return *processes_.at(name); }
    Endpoint http(const std::string& daemon) const { return endpoints_.at(daemon); }
    std::string dataFolder(const std::string& daemon) const { return folder_ + "/" + daemon; }

    StartRecord record(const SubmissionKey&) const;
    /// Waits until this number of a submission's tasks have started.
    /// @return whether that was so within a minute.
    bool awaitStarts(const SubmissionKey&, size_t tasks) const;

    /// Checks an outcome against the execution log.
    /// @return a description of the fault, or an empty text.
    std::string faultOf(const CallerReply&, const CallerJob&) const;

private:
    std::string logFile() const { return folder_ + "/executions.log"; }
    void writeSettings(const std::string& daemon) const;
    bool publish();

    std::string folder_;
    std::map<std::string, Endpoint> endpoints_;
    std::map<std::string, Endpoint> peerEndpoints_;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

} // namespace trefoilwing
