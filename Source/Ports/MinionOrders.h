#pragma once

#include "Model/Runs.h"

namespace trefoilwing {

/// Takes what minions answer to orders. Calls come from the gateway's thread, each order is answered once.
class MinionAnswers {
public:
    virtual ~MinionAnswers() = default;

    virtual void answered(const CellId&, const StartResult&) = 0;
    virtual void answered(const CellId&, const StopResult&) = 0;
    virtual void answered(const CellId&, const RenewResult&) = 0;
};

/// Sends orders to minions. Calls return at once.
class MinionOrders {
public:
    virtual ~MinionOrders() = default;

    virtual void send(const CellId&, const StartOrder&) = 0;
    virtual void send(const CellId&, const StopOrder&) = 0;
    virtual void send(const CellId&, const RenewOrder&) = 0;
};

} // namespace trefoilwing
