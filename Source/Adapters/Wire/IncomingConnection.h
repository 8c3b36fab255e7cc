#pragma once

#include "Adapters/Wire/FrameReader.h"
#include "Adapters/Wire/Hello.h"
#include "Adapters/Wire/Poller.h"
#include "Adapters/Wire/Socket.h"
#include "Adapters/Wire/WireOptions.h"

#include <boost/intrusive/list.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace trefoilwing {

class IncomingConnection;

/// Handles the frames of incoming connections.
class IncomingEvents {
public:
    virtual ~IncomingEvents() = default;

    /// Handles the first frame. The connection is closed if the hello is refused.
    /// @return the answer to send, or the reason why the connection is refused.
    virtual Result<std::string> helloReceived(IncomingConnection&, std::string_view content) = 0;

    /// Handles each later frame that isn't empty.
    /// @return whether to keep the connection open.
    virtual bool frameReceived(IncomingConnection&, std::string_view content) = 0;

    /// Called when a connection is closed because it violated the protocol.
    virtual void connectionRefused(const IncomingConnection&, std::string_view reason) = 0;
};

/// A connection on which one peer sends to this daemon. Used by the link's thread only.
class IncomingConnection : public PollHandler, public boost::intrusive::list_base_hook<> {
public:
    /// The references must outlive this.
    IncomingConnection(Socket, const WireOptions&, Poller&, IncomingEvents&, absl::Time now);

    void ready(Readiness, absl::Time now) override;

    /// Closes the connection if its peer has sent nothing within the timeout.
    void service(absl::Time now);

    /// @return when service() is next due.
    absl::Time nextWakeup() const { return deadline_; }

    void close() { socket_.close(); }
    bool isClosed() const { return !socket_.isOpen(); }

    /// @return the number of bytes of frames that are incomplete.
    size_t heldBytes() const { return reader_.heldBytes(); }

    /// @return the run of the peer, once its hello was accepted.
    const std::optional<DaemonRun>& peer() const { return peer_; }
    void setPeer(DaemonRun peer) { peer_ = std::move(peer); }

private:
    void processFrames();
    bool processFrame(std::string_view content);
    bool processHello(std::string_view content);
    void refuse(std::string_view reason);

    Socket socket_;
    const WireOptions& options_;
    IncomingEvents& events_;
    FrameReader reader_;
    std::optional<DaemonRun> peer_;
    absl::Time deadline_;
};

} // namespace trefoilwing
