#pragma once

#include "Adapters/Wire/Backoff.h"
#include "Adapters/Wire/FrameReader.h"
#include "Adapters/Wire/Hello.h"
#include "Adapters/Wire/PeerCounters.h"
#include "Adapters/Wire/Poller.h"
#include "Adapters/Wire/SendQueue.h"
#include "Adapters/Wire/Socket.h"
#include "Adapters/Wire/WireOptions.h"
#include "Model/Settings.h"
#include "Ports/EventLog.h"

#include <string>
#include <string_view>

namespace trefoilwing {

/// The connection on which this daemon sends to one peer; it is made anew whenever it ends.
///
/// enqueue() may be called by any thread, all else by the link's thread only.
class OutgoingConnection : public PollHandler {
public:
    /// The references must outlive this.
    OutgoingConnection(const PeerSettings& peer, const DaemonRun& self, const WireOptions&, Poller&, Random&, EventLog&);

    /// Takes a frame to send. It is dropped if it can't be sent for long.
    /// @return whether the link's thread has to be woken.
    bool enqueue(std::string frame, absl::Time now);

    /// Does what is due: connects, gives up, sends what waits, or pings.
    void service(absl::Time now);

    /// @return when service() is next due without an event.
    absl::Time nextWakeup() const;

    void ready(Readiness, absl::Time now) override;

    void close();

    PeerCounters& counters() { return counters_; }
    PeerTraffic traffic() const;

private:
    enum class State {
        Waiting,
        Connecting,
        Greeting,
        Ready,
    };

    void connect(absl::Time now);
    void connected(absl::Time now);
    void readHello(absl::Time now);
    void greeted(std::string_view content, absl::Time now);
    void readNothing(absl::Time now);
    void flush(absl::Time now);
    bool fillBatch(absl::Time now);
    void watchForWriting(bool wantsWrite);
    void fail(std::string_view reason, absl::Time now);

    const PeerSettings peer_;
    const DaemonRun self_;
    const WireOptions& options_;
    Poller& poller_;
    EventLog& log_;
    SendQueue queue_;
    PeerCounters counters_;
    Backoff backoff_;
    Socket socket_;
    FrameReader reader_;
    State state_ = State::Waiting;
    /// Waiting: when to connect. Connecting and Greeting: when to give up. Ready: when to ping.
    absl::Time deadline_ = absl::InfinitePast();
    std::string batch_;
    size_t batchSent_ = 0;
    bool wantsWrite_ = false;
    /// Only the first failure in a row is logged.
    bool hasLoggedFailure_ = false;
};

} // namespace trefoilwing
