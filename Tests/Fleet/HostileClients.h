#pragma once

#include "Model/MinionMessages.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// Connections of clients that don't keep to the protocol. They are open until this object is destroyed, unless the server
/// closes them.
class HostileClients {
public:
    explicit HostileClients(Endpoint server);
    ~HostileClients();
    HostileClients(const HostileClients&) = delete;
    HostileClients& operator=(const HostileClients&) = delete;

    /// Opens connections that send nothing.
    void connect(int count);

    /// Sends text on all connections, and then repeats a piece until each has sent that many bytes, or was closed by the
    /// server, or takes nothing more for two seconds. Reads nothing.
    void send(const std::string& text, const std::string& repeated = {}, size_t bytes = 0);

private:
    struct Sender {
        int descriptor;
        std::string pending;
        size_t sent = 0;
        bool isClosed = false;
    };

    /// @return whether something was sent.
    static bool sendPiece(Sender&, const std::string& repeated, size_t bytes);

    const Endpoint server_;
    std::vector<Sender> senders_;
};

} // namespace trefoilwing
