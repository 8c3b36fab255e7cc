#pragma once

#include "Adapters/Wire/Backoff.h"
#include "Adapters/Wire/DueTime.h"
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

/// The connection on which this daemon sends to one peer. It reconnects with backoff whenever it ends.
///
/// Any thread may call enqueue() and traffic(); only the link's thread calls the other functions.
class OutgoingConnection : public PollHandler {
public:
    /// The references must outlive this.
    /// @param due is told each time at which service() is next due without an event.
    OutgoingConnection(const PeerSettings& peer, const DaemonRun& self, const WireOptions&, SendBudget&, Poller&, DueTime& due, Random&, EventLog&);

    /// Queues a frame to send. It is dropped if it can't be sent within WireOptions::maxQueueAge.
    /// @return whether the link's thread has to be woken.
    bool enqueue(std::string frame, absl::Time now);

    /// Drops the oldest frames until the process is within its budget or none are left. Any thread may call it.
    void dropUntilWithinBudget() { queue_.dropUntilWithinBudget(); }
    /// Any thread may call it.
    Bytes queuedBytes() const { return queue_.queuedBytes(); }

    /// Performs the actions that are due: connects, times out, sends queued frames, or sends a ping.
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
        AwaitingHello,
        Ready,
    };

    void connect(absl::Time now);
    void connected(absl::Time now);
    void readHello(absl::Time now);
    void handleHello(std::string_view content, absl::Time now);
    void readUnexpected(absl::Time now);
    void flush(absl::Time now);
    bool fillBatch(absl::Time now);
    void watchForWriting(bool wantsWrite);
    void fail(std::string_view reason, absl::Time now);
    void setDeadline(absl::Time);

    const PeerSettings peer_;
    const DaemonRun self_;
    const WireOptions& options_;
    Poller& poller_;
    DueTime& due_;
    EventLog& log_;
    SendQueue queue_;
    PeerCounters counters_;
    Backoff backoff_;
    Socket socket_;
    FrameReader reader_;
    State state_ = State::Waiting;
    /// Waiting: time of the next attempt to connect. Connecting and AwaitingHello: end of the handshake timeout.
    /// Ready: time of the next ping.
    absl::Time deadline_ = absl::InfinitePast();
    std::string batch_;
    size_t batchSent_ = 0;
    bool wantsWrite_ = false;
    /// Only the first of consecutive failures is logged.
    bool hasLoggedFailure_ = false;
};

} // namespace trefoilwing
